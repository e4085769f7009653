#include "swarm/Placement.h"

#include "core/Rendezvous.h"

#include <algorithm>
#include <map>

namespace rosemarylane::swarm {

namespace {

bool allows(const core::CatalogueEntry &Entry,
            const core::FailureDomainId &Domain) {
  return Entry.FailureDomains.empty() ||
         std::find(Entry.FailureDomains.begin(), Entry.FailureDomains.end(),
                   Domain) != Entry.FailureDomains.end();
}

/// Selects \p Count hosts, visiting the failure domains round-robin.
std::vector<EngineHost> spreadOverDomains(const core::EntryName &Key,
                                          std::size_t Count,
                                          std::vector<EngineHost> Candidates) {
  std::map<core::FailureDomainId, std::vector<EngineHost>> ByDomain;
  for (EngineHost &Host : Candidates)
    ByDomain[Host.FailureDomain].push_back(std::move(Host));
  std::vector<core::FailureDomainId> Domains;
  for (auto &[Domain, Hosts] : ByDomain) {
    Domains.push_back(Domain);
    Hosts = core::rendezvousRank(
        Key.str(), std::move(Hosts),
        [](const EngineHost &H) -> std::string_view { return H.Host.str(); });
  }
  Domains = core::rendezvousRank(
      Key.str(), std::move(Domains),
      [](const core::FailureDomainId &D) -> std::string_view {
        return D.str();
      });

  std::vector<EngineHost> Result;
  bool Added = true;
  for (std::size_t Round = 0; Added && Result.size() < Count; ++Round) {
    Added = false;
    for (const core::FailureDomainId &Domain : Domains) {
      const std::vector<EngineHost> &Hosts = ByDomain[Domain];
      if (Round >= Hosts.size() || Result.size() == Count)
        continue;
      Result.push_back(Hosts[Round]);
      Added = true;
    }
  }
  return Result;
}

} // namespace

std::vector<EngineHost> replicaHosts(const core::CatalogueEntry &Entry,
                                     const core::Configuration &Config,
                                     const std::vector<EngineHost> &Agents) {
  const core::CatalogueEntry *Base =
      Entry.BaseModel ? Config.entry(*Entry.BaseModel) : nullptr;
  if (Entry.BaseModel && !Base)
    return {};
  // An adapter of another adapter is not placed.
  if (Base && Base->BaseModel)
    return {};
  std::vector<EngineHost> Candidates =
      Base ? replicaHosts(*Base, Config, Agents) : Agents;
  std::erase_if(Candidates, [&](const EngineHost &Agent) {
    return !allows(Entry, Agent.FailureDomain) ||
           Config.isOutOfService(Agent.Host, Agent.FailureDomain);
  });
  return spreadOverDomains(Entry.Name, Entry.Replicas, std::move(Candidates));
}

std::set<core::EntryName>
entriesForHost(const core::HostId &Host, const core::Configuration &Config,
               const std::vector<EngineHost> &Agents) {
  std::set<core::EntryName> Wanted;
  for (const core::CatalogueEntry &Entry : Config.Entries) {
    if (Entry.Kind != core::TargetKind::Engine || Entry.Version.none())
      continue;
    for (const EngineHost &Replica : replicaHosts(Entry, Config, Agents))
      if (Replica.Host == Host)
        Wanted.insert(Entry.Name);
  }
  return Wanted;
}

} // namespace rosemarylane::swarm
