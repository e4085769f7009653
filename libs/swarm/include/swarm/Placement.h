#ifndef ROSEMARYLANE_SWARM_PLACEMENT_H
#define ROSEMARYLANE_SWARM_PLACEMENT_H

#include "core/Catalogue.h"
#include "core/Ids.h"

#include <set>
#include <vector>

namespace rosemarylane::swarm {

/// A host with a live agent whose target is a model engine.
struct EngineHost {
  core::HostId Host;
  core::RegionId Region;
  core::FailureDomainId FailureDomain;

  bool operator==(const EngineHost &) const = default;
};

/// Computes the hosts that should hold \p Entry, in rank order.
///
/// A pure function of catalogue and membership, so that each agent determines
/// its own replicas without coordination. Hosts are ranked by rendezvous
/// hashing within each failure domain, and the domains are visited round-robin
/// so that replicas spread over them. Hosts that are out of service are
/// skipped. An adapter is placed on hosts of its base model.
/// @param Agents the hosts with a live agent, in any order.
/// @return at most as many hosts as the entry has replicas; fewer if there are
/// not enough.
std::vector<EngineHost> replicaHosts(const core::CatalogueEntry &Entry,
                                     const core::Configuration &Config,
                                     const std::vector<EngineHost> &Agents);

/// @return the names of the entries that the engine of \p Host should hold.
std::set<core::EntryName> entriesForHost(const core::HostId &Host,
                                         const core::Configuration &Config,
                                         const std::vector<EngineHost> &Agents);

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_PLACEMENT_H
