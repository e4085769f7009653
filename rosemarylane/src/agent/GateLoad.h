#ifndef ROSEMARYLANE_AGENT_GATE_LOAD_H
#define ROSEMARYLANE_AGENT_GATE_LOAD_H

#include "agent/TargetRun.h"
#include "routing/Admission.h"
#include "routing/Member.h"
#include "routing/WaitQueue.h"

#include <memory>

namespace rosemarylane {

/// The requests that wait at an agent.
using WaitingRuns = routing::WaitQueue<std::shared_ptr<TargetRun>>;

/// @return the load that entries are told of.
routing::Load loadOf(const routing::Admission &Admit,
                     const WaitingRuns &Waiting);

/// @return the load while the target wants no requests: no entry sends any.
routing::Load loadWhilePaused(const routing::Admission &Admit);

} // namespace rosemarylane

#endif // ROSEMARYLANE_AGENT_GATE_LOAD_H
