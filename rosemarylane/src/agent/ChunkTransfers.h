#ifndef ROSEMARYLANE_AGENT_CHUNK_TRANSFERS_H
#define ROSEMARYLANE_AGENT_CHUNK_TRANSFERS_H

#include "agent/WeightMetrics.h"
#include "common/Messages.h"
#include "common/ProcessContext.h"
#include "core/Digest.h"
#include "core/Time.h"
#include "wire/wire.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace rosemarylane {

/// Requests of chunks and manifests to peers and to the origin. What comes is
/// checked against its digest on a duty of its own, so that hashing delays no
/// live request.
///
/// On the control duty.
class ChunkTransfers {
public:
  struct Asked {
    core::Digest Version;
    /// Equal to the version for its manifest.
    core::Digest Id;
    Distance From = Distance::Origin;
    /// Empty for the origin.
    std::string Address;
    /// Asks for an answer once the peer holds the chunk.
    bool Wait = false;
  };

  enum class Status { Data, Busy, NotHeld, Queued, Failed };

  /// Told of the outcome; after `Queued` once more. Not told when the peer is
  /// silent.
  using Hook = std::function<void(Status, std::string Data)>;

  ChunkTransfers(ProcessContext &Context, const MessageSender &Send,
                 WeightMetrics &Metrics);
  ~ChunkTransfers();

  void ask(const Asked &What, Hook OnDone);

  /// Handles ChunkReply.
  void receive(const wire::ChunkReply &Reply);

  /// Forgets requests that nobody will answer any more.
  void expire(core::TimePoint Now);

private:
  struct Request {
    Asked What;
    Hook OnDone;
    core::TimePoint SentAt;
  };

  void askOrigin(std::uint64_t Id, const Asked &What);
  void check(std::uint64_t Id, std::string Data);
  void checked(std::uint64_t Id, bool Sound, std::string Data);
  void end(std::uint64_t Id, Status How, std::string Data);

  ProcessContext &Context;
  const MessageSender &Send;
  WeightMetrics &Metrics;
  std::map<std::uint64_t, Request> Requests;
  std::uint64_t NextId = 1;
  std::shared_ptr<bool> Alive;
  std::unique_ptr<runtime::Duty> Hashing;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_AGENT_CHUNK_TRANSFERS_H
