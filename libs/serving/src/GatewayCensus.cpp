#include "serving/GatewayCensus.h"

#include <algorithm>

namespace rosemarylane::serving {

void GatewayCensus::update(const PeerTable &Peers, core::BootTime Now) {
  for (const auto &[Ip, Entry] : Peers.entries()) {
    HeardOfOthers = true;
    if (Entry.Details.Role == PeerRole::Gateway)
      Known[Ip] = {Entry.Details.FailureDomain, Entry.LastHeard};
  }
  std::erase_if(Known, [&](const auto &Item) {
    return Now - Item.second.LastHeard > Retention;
  });
}

std::optional<GatewayFleet> GatewayCensus::fleet() const {
  GatewayFleet Result;
  Result.Names.push_back(Self.Ip);
  if (!HeardOfOthers)
    return HasSeeds ? std::nullopt : std::optional(Result);
  std::map<core::FailureDomainId, std::size_t> InDomain;
  ++InDomain[Self.FailureDomain];
  for (const auto &[Ip, Sighted] : Known) {
    ++InDomain[Sighted.Domain];
    Result.Names.push_back(Ip);
  }
  std::sort(Result.Names.begin(), Result.Names.end());
  std::size_t Largest = MinAssumedPerDomain;
  for (const auto &[Domain, Count] : InDomain)
    Largest = std::max(Largest, Count);
  for (const core::FailureDomainId &Domain : Domains)
    if (!InDomain.contains(Domain))
      Result.Assumed += Largest;
  return Result;
}

std::size_t GatewayCensus::inOwnDomain() const {
  auto Others =
      std::count_if(Known.begin(), Known.end(), [&](const auto &Item) {
        return Item.second.Domain == Self.FailureDomain;
      });
  std::size_t Count = static_cast<std::size_t>(Others) + 1;
  bool CutOff = !HeardOfOthers && HasSeeds;
  return CutOff ? std::max(Count, MinAssumedPerDomain) : Count;
}

} // namespace rosemarylane::serving
