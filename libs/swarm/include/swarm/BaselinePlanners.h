#ifndef ROSEMARYLANE_SWARM_BASELINE_PLANNERS_H
#define ROSEMARYLANE_SWARM_BASELINE_PLANNERS_H

#include "swarm/SwarmPlanner.h"

#include <memory>

namespace rosemarylane::swarm {

/// Creates a planner that reads every chunk from the origin. A baseline for
/// benchmarks of the swarm planner.
std::unique_ptr<SwarmPlanner> createOriginPlanner(ChunkSet Held,
                                                  PlannerSettings Settings);

/// Creates a planner that reads every chunk from this host's parent in a fixed
/// binary tree over all hosts, whose root reads from the origin. A baseline for
/// benchmarks of the swarm planner.
std::unique_ptr<SwarmPlanner>
createTreePlanner(core::HostId Self, ChunkSet Held, PlannerSettings Settings);

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_BASELINE_PLANNERS_H
