#ifndef ROSEMARYLANE_AGENT_CHUNK_UPLOADS_H
#define ROSEMARYLANE_AGENT_CHUNK_UPLOADS_H

#include "agent/ChunkStore.h"
#include "agent/WeightMetrics.h"
#include "common/Messages.h"
#include "core/Time.h"
#include "swarm/TokenBucket.h"
#include "swarm/UploadQueue.h"
#include "wire/wire.pb.h"

#include <map>

namespace rosemarylane {

/// Answers peers' requests from the store, paced to what live traffic leaves of
/// the uplink.
///
/// On the control duty. All arguments outlive it.
class ChunkUploads {
public:
  ChunkUploads(const MessageSender &Send, ChunkStore &Store,
               swarm::TokenBucket &Uplink, WeightMetrics &Metrics,
               swarm::UploadSettings Limits)
      : Send(Send), Store(Store), Uplink(Uplink), Metrics(Metrics),
        Queue(Limits) {}

  /// A request for a chunk of a known version.
  struct Request {
    wire::Peer From;
    Distance To = Distance::Domain;
    swarm::Upload What;
    bool Wait = false;
    std::uint64_t VersionBytes = 0;
  };

  void offer(const Request &R, core::TimePoint Now);

  /// Answers at once, without a turn; for manifests.
  void sendNow(const wire::Peer &To, std::uint64_t RequestId,
               const core::Digest &Id, Distance Away);

  /// Tells \p To that nothing follows.
  void refuse(const wire::Peer &To, std::uint64_t RequestId,
              wire::ChunkReply::Status Status);

  /// The store holds \p Chunk now.
  void stored(const core::Digest &Chunk) { Queue.stored(Chunk); }

  void forget(const core::Digest &Version) { Queue.forget(Version); }

  /// Sends what is due while the uplink is free.
  void pump(core::TimePoint Now);

  bool due() const { return Queue.due(); }

  /// @return the bytes of weights sent since the start.
  std::uint64_t bytesSent() const { return Sent; }

private:
  struct Destination {
    wire::Peer Peer;
    Distance Away = Distance::Domain;
  };

  void reply(const wire::Peer &To, std::uint64_t RequestId,
             wire::ChunkReply::Status Status, const ChunkStore::Bytes &Data);

  const MessageSender &Send;
  ChunkStore &Store;
  swarm::TokenBucket &Uplink;
  WeightMetrics &Metrics;
  swarm::UploadQueue Queue;
  std::map<core::HostId, Destination> Destinations;
  std::size_t Reading = 0;
  std::uint64_t Sent = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_AGENT_CHUNK_UPLOADS_H
