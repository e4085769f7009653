#ifndef ROSEMARYLANE_AGENT_WEIGHT_SERVICE_H
#define ROSEMARYLANE_AGENT_WEIGHT_SERVICE_H

#include "agent/HeartbeatService.h"
#include "common/ConfigurationService.h"
#include "common/Messages.h"
#include "common/ProcessContext.h"
#include "core/Digest.h"
#include "core/Ids.h"
#include "wire/wire.pb.h"

#include <functional>
#include <memory>
#include <vector>

namespace rosemarylane {

/// One catalogue entry that the engine has loaded.
struct ServedVersion {
  core::EntryName Entry;
  core::Digest Version;
  /// The engine's load generation at which the version was seen whole.
  std::uint64_t Generation = 0;
};

/// Decides what this agent's engine holds, fetches the weights from the origin
/// and from peers, checks them, has them loaded, and serves chunks to peers.
///
/// Only in agents of model engines; on the control duty.
class WeightService {
public:
  static std::unique_ptr<WeightService>
  create(ProcessContext &Context, const MessageSender &Send,
         ConfigurationService &Configuration, HeartbeatService &Heartbeats);
  virtual ~WeightService() = default;

  /// Handles ChunkRequest, ChunkReply and HoldingsUpdate.
  virtual void receive(const wire::Peer &From,
                       const wire::Envelope &Message) = 0;

  /// @return what requests may be answered from now.
  virtual const std::vector<ServedVersion> &served() const = 0;

  /// Calls \p Hook after each change of `served`.
  virtual void onServed(std::function<void()> Hook) = 0;

  /// Asks before a loaded version is replaced: \p Drained must be called once
  /// no request is in progress on it.
  virtual void onReplace(std::function<void(const core::EntryName &,
                                            std::function<void()> Drained)>
                             Hook) = 0;

  /// @return whether the engine says that it is cold and bears only a little.
  virtual bool engineCold() const = 0;

  /// Fills in what the holdings of a heartbeat say of versions: loaded,
  /// fetching, load errors.
  virtual std::vector<wire::Holding> holdings() const = 0;

  /// The gate saw the engine answer with another generation, lose its
  /// connection, or turn cold.
  virtual void engineChanged() = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_AGENT_WEIGHT_SERVICE_H
