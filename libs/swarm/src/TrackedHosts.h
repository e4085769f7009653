#ifndef ROSEMARYLANE_SWARM_TRACKED_HOSTS_H
#define ROSEMARYLANE_SWARM_TRACKED_HOSTS_H

#include "core/Ids.h"
#include "swarm/Placement.h"

#include <cstddef>
#include <vector>

namespace rosemarylane::swarm {

/// Chooses the hosts of \p Self's failure domain whose holdings \p Self tracks.
/// Each host ranks the others on its own, so that all are tracked by about
/// equally many.
/// @param Members contain \p Self.
/// @param Max the maximum number of hosts.
std::vector<core::HostId>
trackedInDomain(const std::vector<EngineHost> &Members, const EngineHost &Self,
                std::size_t Max);

/// Chooses the hosts of other regions whose holdings \p Self tracks: those of
/// highest rank of each region in turn. Parameters as in `trackedInDomain`.
std::vector<core::HostId>
trackedInOtherRegions(const std::vector<EngineHost> &Members,
                      const EngineHost &Self, std::size_t Max);

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_TRACKED_HOSTS_H
