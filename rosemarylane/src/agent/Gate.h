#ifndef ROSEMARYLANE_AGENT_GATE_H
#define ROSEMARYLANE_AGENT_GATE_H

#include "agent/HeartbeatService.h"
#include "agent/WeightService.h"
#include "common/ConfigurationService.h"
#include "common/Messages.h"
#include "common/ProcessContext.h"
#include "wire/wire.pb.h"

#include <functional>
#include <memory>
#include <vector>

namespace rosemarylane {

/// The only way to the agent's target: admits requests, runs each at most once,
/// and answers for what ran.
///
/// On the control duty.
class Gate {
public:
  /// @param Weights null for a plain service.
  static std::unique_ptr<Gate> create(ProcessContext &Context,
                                      const MessageSender &Send,
                                      ConfigurationService &Configuration,
                                      HeartbeatService &Heartbeats,
                                      WeightService *Weights);
  virtual ~Gate() = default;

  /// Handles RunRequest, CancelRequest and OutcomeQuery.
  virtual void receive(const wire::Peer &From,
                       const wire::Envelope &Message) = 0;

  /// @return what the target serves, with its load, for heartbeats.
  virtual std::vector<wire::Holding> holdings() const = 0;

  /// Takes no new work from now on, and calls \p Idle once none is in progress.
  virtual void drain(std::function<void()> Idle) = 0;

  virtual std::size_t inProgress() const = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_AGENT_GATE_H
