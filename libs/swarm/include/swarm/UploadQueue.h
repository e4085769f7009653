#ifndef ROSEMARYLANE_SWARM_UPLOAD_QUEUE_H
#define ROSEMARYLANE_SWARM_UPLOAD_QUEUE_H

#include "core/Catalogue.h"
#include "core/Digest.h"
#include "core/Ids.h"
#include "core/Time.h"
#include "swarm/ClassScheduler.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rosemarylane::swarm {

/// A chunk that a peer asked for.
struct Upload {
  core::HostId To;
  core::Digest Version;
  core::Digest Chunk;
  /// The peer's id of its request.
  std::uint64_t RequestId = 0;
  std::uint64_t Bytes = 0;
  core::TrafficClass Class = core::TrafficClass::Standard;
  /// Whether the peer is in another failure domain, so that a whole domain
  /// waits for the chunk.
  bool ForReader = false;
};

/// What a peer is told at once.
enum class UploadAnswer {
  /// The chunk follows.
  Accepted,
  /// For readers: the chunk follows once this host holds it and has sent what
  /// is
  /// due before. They are told, so that they give up only on a silent host.
  Queued,
  Busy,
  NotHeld,
};

/// Limits of a host's uploads.
struct UploadSettings {
  /// Neighbours' requests that may wait; more are told to go elsewhere.
  std::size_t MaxQueuedPeerRequests = 2;
  /// Requests of readers that may wait, held or not.
  std::size_t MaxQueuedReaderRequests = 8192;
  /// Copies of one version that a host gives before it leaves the rest to
  /// others.
  double MaxCopies = 1.05;
  /// Beyond the cap, a neighbour is still served after this long without an
  /// upload: a host that joins late finds a fleet that has given enough.
  std::chrono::nanoseconds OverCapInterval = std::chrono::milliseconds(100);
  /// A version that was not asked for during this time starts a new count.
  std::chrono::nanoseconds CountIdleTimeout = std::chrono::seconds(10);
};

/// Decides which requests a host answers, and in which order.
///
/// Requests of other failure domains go first, since whole domains wait for
/// them; versions share the link by class; a host that has given about one copy
/// sends most neighbours elsewhere, except for chunks that it has never given.
/// Pure; not thread-safe.
class UploadQueue {
public:
  explicit UploadQueue(UploadSettings Settings) : Settings(Settings) {}

  /// @param Held whether this host holds the chunk.
  /// @param Wait whether the peer wants it as soon as this host does.
  /// @param VersionBytes the size of one copy.
  UploadAnswer offer(const Upload &Request, bool Held, bool Wait,
                     std::uint64_t VersionBytes, core::TimePoint Now);

  /// This host holds \p Chunk now: requests that waited for it are due.
  void stored(const core::Digest &Chunk);

  /// @return the next chunk to send, if one is due.
  std::optional<Upload> next();

  /// Whether a request is due.
  bool due() const { return !ReaderRequests.empty() || !PeerRequests.empty(); }

  /// Drops what was asked for of \p Version.
  void forget(const core::Digest &Version);

private:
  struct VersionUploads {
    std::uint64_t Bytes = 0;
    core::TimePoint LastOffer{};
    core::TimePoint LastAccepted{};
    std::unordered_map<core::Digest, std::uint32_t> TimesSent;
  };

  bool admit(const Upload &Request, std::uint64_t VersionBytes,
             core::TimePoint Now);
  std::optional<Upload> take(std::deque<Upload> &From);

  UploadSettings Settings;
  ClassScheduler Share;
  std::deque<Upload> ReaderRequests;
  std::deque<Upload> PeerRequests;
  std::unordered_map<core::Digest, std::vector<Upload>> AwaitingChunk;
  std::size_t AwaitingCount = 0;
  std::map<core::Digest, VersionUploads> UploadsByVersion;
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_UPLOAD_QUEUE_H
