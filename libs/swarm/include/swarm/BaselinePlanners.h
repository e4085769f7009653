#ifndef ROSEMARYLANE_SWARM_BASELINE_PLANNERS_H
#define ROSEMARYLANE_SWARM_BASELINE_PLANNERS_H

#include "swarm/SwarmPlanner.h"

#include <memory>

namespace rosemarylane::swarm {

/// Reads every chunk from the origin. Only to measure the swarm against.
std::unique_ptr<SwarmPlanner> createOriginPlanner(ChunkSet Held,
                                                  PlannerSettings Settings);

/// Reads every chunk from the parent in a fixed binary tree over all hosts,
/// whose root reads the origin. Only to measure the swarm against.
std::unique_ptr<SwarmPlanner>
createTreePlanner(core::HostId Self, ChunkSet Held, PlannerSettings Settings);

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_BASELINE_PLANNERS_H
