#ifndef ROSEMARYLANE_SWARM_UPLOAD_QUEUE_H
#define ROSEMARYLANE_SWARM_UPLOAD_QUEUE_H

#include "core/Catalogue.h"
#include "core/Digest.h"
#include "core/Ids.h"
#include "core/Time.h"
#include "swarm/ClassShare.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rosemarylane::swarm {

/// A peer's request for a chunk.
struct Upload {
  core::HostId To;
  core::Digest Version;
  core::Digest Chunk;
  /// The id that the peer gave its request.
  std::uint64_t RequestId = 0;
  std::uint64_t Bytes = 0;
  core::TrafficClass Class = core::TrafficClass::Standard;
  /// Whether the peer requests the chunk as a reader, so that at least its
  /// whole failure domain waits for it.
  bool FromReader = false;
};

/// The immediate reply to a peer's request.
enum class UploadAnswer {
  /// The request of a peer that is not a reader was queued. Nothing is sent to
  /// the peer before the chunk itself.
  Accepted,
  /// The request of a reader was queued, whether this host holds the chunk
  /// already or still waits for it. The reader is told so, because its turn can
  /// come late: it then prolongs its timeout, and the short timeout before this
  /// reply detects only hosts that do not respond.
  Queued,
  /// Too many requests are queued, or this host has uploaded its limit of
  /// copies; the peer should ask another host.
  Busy,
  /// This host does not hold the chunk.
  NotHeld,
};

/// Limits for the uploads of one host.
struct UploadSettings {
  /// Maximum number of queued requests from peers in the own failure domain.
  /// Further ones get the reply `Busy`.
  std::size_t MaxQueuedPeerRequests = 2;
  /// Maximum number of queued requests from readers; applies separately to
  /// chunks that are held and to chunks that are not.
  std::size_t MaxQueuedReaderRequests = 8192;
  /// Copies of one version that a host uploads before it refuses most further
  /// requests.
  double MaxCopies = 1.05;
  /// Minimum interval between an accepted request and the next one beyond
  /// `MaxCopies`. Such requests are not refused altogether, because a host that
  /// joins late would then find no peer that still uploads.
  std::chrono::nanoseconds OverLimitInterval = std::chrono::milliseconds(100);
  /// The record of what was uploaded of a version is cleared if the version was
  /// not requested for this long.
  std::chrono::nanoseconds UploadRecordTimeout = std::chrono::seconds(10);
};

/// Decides which chunk requests a host accepts, and in which order it serves
/// them.
///
/// Requests from readers are served first, since whole failure domains wait for
/// them. Versions share the link by traffic class. A host that has uploaded
/// about one copy of a version refuses most further requests from peers in its
/// own failure domain, except for chunks that it has never sent.
///
/// Usage: pass each incoming request to `offer`, call `stored` for each new
/// chunk, and send what `next` returns. One queue serves all versions of a
/// host. Performs no I/O; time is passed in. Not thread-safe.
class UploadQueue {
public:
  explicit UploadQueue(UploadSettings Settings) : Settings(Settings) {}

  /// Accepts or refuses a request.
  /// @param Held whether this host holds the chunk.
  /// @param Wait whether to keep the request until this host holds the chunk.
  /// @param VersionBytes the size of one copy of the version.
  /// @return the reply to send to the peer.
  UploadAnswer offer(const Upload &Request, bool Held, bool Wait,
                     std::uint64_t VersionBytes, core::TimePoint Now);

  /// Notifies the queue that this host holds \p Chunk now. Requests that waited
  /// for the chunk become ready to be served.
  void stored(const core::Digest &Chunk);

  /// Removes the next request from the queue and counts it as sent.
  /// @return the request to serve; none if no request is ready.
  std::optional<Upload> next();

  /// @return whether a request is ready to be served, that is, queued for a
  /// chunk that this host holds.
  bool due() const { return !ReaderRequests.empty() || !PeerRequests.empty(); }

  /// Drops all requests for \p Version and the record of its uploads.
  void forget(const core::Digest &Version);

private:
  /// What was uploaded of one version since the record was last cleared.
  struct VersionUploads {
    std::uint64_t Bytes = 0;
    core::TimePoint LastOffer{};
    core::TimePoint LastAccepted{};
    std::unordered_map<core::Digest, std::uint32_t> TimesSent;
  };

  /// Applies the limit on uploaded copies of the version.
  /// @return whether it allows the request.
  bool admit(const Upload &Request, std::uint64_t VersionBytes,
             core::TimePoint Now);
  /// Removes the request whose version is next by fair queueing.
  std::optional<Upload> take(std::deque<Upload> &From);

  UploadSettings Settings;
  ClassShare Share;
  std::deque<Upload> ReaderRequests;
  std::deque<Upload> PeerRequests;
  /// Readers' requests for chunks that this host does not hold yet.
  std::unordered_map<core::Digest, std::vector<Upload>> AwaitingChunk;
  std::size_t AwaitingCount = 0;
  std::map<core::Digest, VersionUploads> UploadsByVersion;
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_UPLOAD_QUEUE_H
