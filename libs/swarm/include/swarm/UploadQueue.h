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
  /// Whether the peer reads the chunk for its failure domain, so that the whole
  /// domain waits for it.
  bool ForReader = false;
};

/// The immediate reply to a peer's request.
enum class UploadAnswer {
  /// The chunk will be sent.
  Accepted,
  /// For readers: the chunk will be sent once this host holds it and has served
  /// the requests queued before. Readers get this reply so that they time out
  /// only on hosts that do not respond.
  Queued,
  /// Too many requests are queued; the peer should ask another host.
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
  /// Copies of one version that a host uploads before it leaves further
  /// requests to other hosts.
  double MaxCopies = 1.05;
  /// Beyond `MaxCopies`, a peer is still served if no request was accepted for
  /// this long. Otherwise a host that joins late would find no peer that still
  /// uploads.
  std::chrono::nanoseconds OverCapInterval = std::chrono::milliseconds(100);
  /// The count of uploaded bytes starts anew for a version that was not
  /// requested for this long.
  std::chrono::nanoseconds CountIdleTimeout = std::chrono::seconds(10);
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

  /// Queues the requests that waited for \p Chunk, which this host holds now.
  void stored(const core::Digest &Chunk);

  /// Removes the next request from the queue and counts it as sent.
  /// @return the request to serve, if any is due.
  std::optional<Upload> next();

  /// @return whether a request can be served now.
  bool due() const { return !ReaderRequests.empty() || !PeerRequests.empty(); }

  /// Drops all requests and counts of \p Version.
  void forget(const core::Digest &Version);

private:
  /// Uploads of one version since the count last started anew.
  struct VersionUploads {
    std::uint64_t Bytes = 0;
    core::TimePoint LastOffer{};
    core::TimePoint LastAccepted{};
    std::unordered_map<core::Digest, std::uint32_t> TimesSent;
  };

  /// @return whether the limit on copies of the version allows the request.
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
