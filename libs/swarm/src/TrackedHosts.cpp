#include "TrackedHosts.h"

#include "core/Rendezvous.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace rosemarylane::swarm {

namespace {

std::vector<core::HostId> ranked(const EngineHost &Self,
                                 std::vector<core::HostId> Hosts) {
  return core::rendezvousRank(
      Self.Host.str(), std::move(Hosts),
      [](const core::HostId &H) -> std::string_view { return H.str(); });
}

} // namespace

std::vector<core::HostId>
trackedInDomain(const std::vector<EngineHost> &Members, const EngineHost &Self,
                std::size_t Max) {
  std::vector<core::HostId> Result;
  for (const EngineHost &Member : Members)
    if (Member.FailureDomain == Self.FailureDomain && Member.Host != Self.Host)
      Result.push_back(Member.Host);
  Result = ranked(Self, std::move(Result));
  Result.resize(std::min(Result.size(), Max));
  return Result;
}

std::vector<core::HostId>
trackedInOtherRegions(const std::vector<EngineHost> &Members,
                      const EngineHost &Self, std::size_t Max) {
  std::map<core::RegionId, std::vector<core::HostId>> ByRegion;
  for (const EngineHost &Member : Members)
    if (Member.Region != Self.Region)
      ByRegion[Member.Region].push_back(Member.Host);
  std::size_t Most = 0;
  for (auto &[Region, Hosts] : ByRegion) {
    Hosts = ranked(Self, std::move(Hosts));
    Most = std::max(Most, Hosts.size());
  }
  std::vector<core::HostId> Result;
  for (std::size_t Rank = 0; Rank < Most; ++Rank)
    for (const auto &[Region, Hosts] : ByRegion)
      if (Rank < Hosts.size() && Result.size() < Max)
        Result.push_back(Hosts[Rank]);
  return Result;
}

} // namespace rosemarylane::swarm
