#include "serving/PeerTable.h"

#include "core/Rendezvous.h"

#include <algorithm>

namespace rosemarylane::serving {

namespace {

/// Sorts processes of one failure domain into the order in which they take over
/// reading the store.
std::vector<Peer> inReaderOrder(const core::FailureDomainId &Domain,
                                std::vector<Peer> Members) {
  Members =
      core::rendezvousRank(Domain.str(), std::move(Members), [](const Peer &P) {
        return std::string_view(P.Ip);
      });
  std::stable_partition(Members.begin(), Members.end(), [](const Peer &P) {
    return P.Role == PeerRole::Gateway;
  });
  std::stable_partition(Members.begin(), Members.end(),
                        [](const Peer &P) { return !P.StoreLost; });
  return Members;
}

} // namespace

void PeerTable::recordContact(const Peer &Details,
                              std::chrono::milliseconds SinceContact,
                              core::BootTime Now) {
  if (Details.Ip == LocalPeer.Ip || SinceContact > MembershipTimeout)
    return;
  core::BootTime HeardAt = Now - SinceContact;
  auto [Found, New] =
      Known.try_emplace(Details.Ip, KnownPeer{Details, HeardAt});
  if (New)
    return;
  if (HeardAt < Found->second.LastHeard)
    return;
  Found->second.Details = Details;
  Found->second.LastHeard = HeardAt;
}

void PeerTable::removeStale(core::BootTime Now) {
  std::erase_if(Known, [&](const auto &Item) {
    return Now - Item.second.LastHeard > MembershipTimeout;
  });
}

bool PeerTable::isLive(const std::string &Ip, core::BootTime Now) const {
  auto Found = Known.find(Ip);
  return Found != Known.end() &&
         Now - Found->second.LastHeard <= LivenessTimeout;
}

std::vector<Peer> PeerTable::live(core::BootTime Now) const {
  std::vector<Peer> Result;
  for (const auto &[Ip, E] : Known)
    if (Now - E.LastHeard <= LivenessTimeout)
      Result.push_back(E.Details);
  return Result;
}

bool PeerTable::hasPeerQuorum(core::BootTime Now) const {
  std::set<std::string> All;
  for (const auto &[Ip, E] : Known)
    All.insert(Ip);
  return !All.empty() && hasQuorumOf(All, Now);
}

std::set<std::string> PeerTable::liveIps(core::BootTime Now) const {
  std::set<std::string> Ips;
  for (const Peer &Other : live(Now))
    Ips.insert(Other.Ip);
  return Ips;
}

bool PeerTable::hasQuorumOf(const std::set<std::string> &Ips,
                            core::BootTime Now) const {
  std::map<core::FailureDomainId, std::size_t> LiveIn;
  std::size_t LiveCount = 0;
  for (const std::string &Ip : Ips) {
    auto Found = Known.find(Ip);
    if (Found == Known.end())
      continue;
    std::size_t &InDomain = LiveIn[Found->second.Details.FailureDomain];
    if (Now - Found->second.LastHeard > LivenessTimeout)
      continue;
    ++InDomain;
    ++LiveCount;
  }
  bool AllDomainsLive = std::all_of(LiveIn.begin(), LiveIn.end(),
                                    [](const auto &D) { return D.second > 0; });
  return Ips.empty() || (AllDomainsLive && LiveCount * 2 > Ips.size());
}

std::vector<Peer> PeerTable::storeReaderOrder(core::BootTime Now) const {
  std::vector<Peer> Members{LocalPeer};
  for (const Peer &Other : live(Now))
    if (Other.FailureDomain == LocalPeer.FailureDomain)
      Members.push_back(Other);
  return inReaderOrder(LocalPeer.FailureDomain, std::move(Members));
}

std::vector<Peer> PeerTable::readersElsewhere(core::BootTime Now) const {
  struct Members {
    std::vector<Peer> Live;
    std::vector<Peer> Silent;
  };
  std::map<core::FailureDomainId, Members> Domains;
  for (const auto &[Ip, E] : Known) {
    if (E.Details.FailureDomain == LocalPeer.FailureDomain)
      continue;
    Members &Of = Domains[E.Details.FailureDomain];
    bool IsLive = Now - E.LastHeard <= LivenessTimeout;
    (IsLive ? Of.Live : Of.Silent).push_back(E.Details);
  }
  std::vector<Peer> Result;
  for (auto &[Domain, Of] : Domains) {
    std::vector<Peer> &From = Of.Live.empty() ? Of.Silent : Of.Live;
    Result.push_back(inReaderOrder(Domain, std::move(From)).front());
  }
  return Result;
}

std::size_t PeerTable::storeReaderRank(core::BootTime Now) const {
  std::vector<Peer> Order = storeReaderOrder(Now);
  auto Found = std::find(Order.begin(), Order.end(), LocalPeer);
  return static_cast<std::size_t>(Found - Order.begin());
}

std::vector<Peer> PeerTable::members(core::BootTime Now) const {
  std::vector<Peer> Result{LocalPeer};
  for (const auto &[Ip, E] : Known)
    if (Now - E.LastHeard <= MembershipTimeout)
      Result.push_back(E.Details);
  return Result;
}

std::size_t PeerTable::gatewayCount(const core::FailureDomainId &Domain,
                                    core::BootTime Now) const {
  std::vector<Peer> All = members(Now);
  return static_cast<std::size_t>(
      std::count_if(All.begin(), All.end(), [&](const Peer &P) {
        return P.Role == PeerRole::Gateway &&
               (Domain.empty() || P.FailureDomain == Domain);
      }));
}

std::vector<std::string> PeerTable::gatewayNames(core::BootTime Now) const {
  std::vector<std::string> Names;
  for (const Peer &P : members(Now))
    if (P.Role == PeerRole::Gateway)
      Names.push_back(P.Ip);
  std::sort(Names.begin(), Names.end());
  return Names;
}

} // namespace rosemarylane::serving
