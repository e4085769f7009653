#ifndef ROSEMARYLANE_SWARM_PLACEMENT_H
#define ROSEMARYLANE_SWARM_PLACEMENT_H

#include "core/Catalogue.h"
#include "core/Ids.h"

#include <set>
#include <vector>

namespace rosemarylane::swarm {

/// A live agent whose target is a model engine.
struct EngineHost {
  core::HostId Host;
  core::RegionId Region;
  core::FailureDomainId FailureDomain;

  bool operator==(const EngineHost &) const = default;
};

/// The hosts that should hold \p Entry, in rank order.
///
/// A pure function of catalogue and membership, so that each agent works out
/// its own part: rendezvous hashing within each failure domain, the domains
/// taken in turn so that the replicas spread over them. Hosts out of service
/// are passed over. An adapter is placed on hosts of its base model. Fewer
/// hosts than replicas are returned when there are not enough.
std::vector<EngineHost> replicaHosts(const core::CatalogueEntry &Entry,
                                     const core::Configuration &Config,
                                     const std::vector<EngineHost> &Agents);

/// @return the entries that the engine of \p Host should hold.
std::set<core::EntryName> entriesForHost(const core::HostId &Host,
                                         const core::Configuration &Config,
                                         const std::vector<EngineHost> &Agents);

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_PLACEMENT_H
