#ifndef ROSEMARYLANE_AGENT_SILENT_CALLS_H
#define ROSEMARYLANE_AGENT_SILENT_CALLS_H

#include "agent/TargetCall.h"
#include "common/ProcessContext.h"

#include <functional>
#include <memory>
#include <vector>

namespace rosemarylane {

/// Finds calls of the target whose connection has fallen silent for good.
///
/// A call may be silent because the target takes long. So once a call has been
/// silent for a while, the target is asked on a new connection how many
/// requests it has. The agent is the only way to its target: if at least as
/// many are missing there as calls are silent, several times in a row, all
/// silent calls are lost. On the control duty.
class SilentCalls {
public:
  using Calls = std::vector<std::shared_ptr<TargetCall>>;

  /// @param InProgress gives the calls in progress.
  static std::unique_ptr<SilentCalls> create(ProcessContext &Context,
                                             std::function<Calls()> InProgress);
  virtual ~SilentCalls() = default;

  /// Looks for silent calls; called often.
  virtual void check() = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_AGENT_SILENT_CALLS_H
