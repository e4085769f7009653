#ifndef ROSEMARYLANE_SWARM_TESTS_GENERATORS_H
#define ROSEMARYLANE_SWARM_TESTS_GENERATORS_H

#include "core/Digest.h"
#include "swarm/Placement.h"

#include <string>
#include <vector>

namespace rosemarylane::swarm::testing {

/// @return \p Count hosts in \p Domains failure domains, two of them per
/// region.
inline std::vector<EngineHost> makeHosts(std::size_t Count,
                                         std::size_t Domains) {
  std::vector<EngineHost> Hosts;
  for (std::size_t I = 0; I < Count; ++I) {
    std::size_t Domain = I % Domains;
    Hosts.push_back(
        {core::HostId("host-" + std::to_string(I)),
         core::RegionId("region-" + std::to_string(Domain / 2)),
         core::FailureDomainId("domain-" + std::to_string(Domain))});
  }
  return Hosts;
}

/// @return \p Count distinct digests.
inline std::vector<core::Digest> makeDigests(std::size_t Count) {
  std::vector<core::Digest> Digests;
  for (std::size_t I = 0; I < Count; ++I)
    Digests.push_back(core::Digest::of("chunk " + std::to_string(I)));
  return Digests;
}

} // namespace rosemarylane::swarm::testing

#endif // ROSEMARYLANE_SWARM_TESTS_GENERATORS_H
