#ifndef ROSEMARYLANE_AGENT_REPLICA_VIEW_H
#define ROSEMARYLANE_AGENT_REPLICA_VIEW_H

#include "core/Catalogue.h"
#include "swarm/Placement.h"
#include "swarm/Rollout.h"
#include "wire/wire.pb.h"

#include <vector>

namespace rosemarylane {

/// The live agents of the fleet as heartbeats tell of them.
using Members = std::vector<wire::MemberSummary>;

/// @return the agents of model engines that stay.
std::vector<swarm::EngineHost> engineHosts(const Members &Fleet);

/// @return the replicas of \p Entry in rank order, with what the fleet knows of
/// each; \p Self stands for the own host.
std::vector<swarm::ReplicaStatus>
replicaStatuses(const core::CatalogueEntry &Entry,
                const core::Configuration &Config, const Members &Fleet,
                const swarm::ReplicaStatus &Self);

} // namespace rosemarylane

#endif // ROSEMARYLANE_AGENT_REPLICA_VIEW_H
