#include "agent/WantedEntry.h"

#include "swarm/Placement.h"

#include <algorithm>

namespace rosemarylane {

WantedEntries wantedEntries(const core::HostId &Host,
                            const core::Configuration &Config,
                            const Members &Fleet, const WantedEntries &Old) {
  WantedEntries Result;
  for (const core::EntryName &Name :
       swarm::entriesForHost(Host, Config, engineHosts(Fleet))) {
    const core::CatalogueEntry &Entry = *Config.entry(Name);
    WantedEntry &Want = Result[Name];
    auto Known = Old.find(Name);
    if (Known != Old.end() && Known->second.Version == Entry.Version)
      Want = Known->second;
    Want.Version = Entry.Version;
    Want.Class = Entry.Class;
    Want.Base = Entry.BaseModel;
  }
  return Result;
}

std::vector<ChunkExchange::Wanted>
sharedVersions(const WantedEntries &Wants, const core::Configuration &Config,
               const Members &Fleet) {
  std::map<core::HostId, std::string> Addresses;
  for (const wire::MemberSummary &Member : Fleet)
    Addresses[core::HostId(Member.member().host())] =
        Member.member().peer_address();
  std::vector<swarm::EngineHost> Agents = engineHosts(Fleet);
  std::vector<ChunkExchange::Wanted> Result;
  for (const auto &[Name, Want] : Wants) {
    const core::CatalogueEntry &Entry = *Config.entry(Name);
    ChunkExchange::Wanted Version{Want.Version, Want.Class, Entry.Replicas, {}};
    for (const swarm::EngineHost &Replica :
         swarm::replicaHosts(Entry, Config, Agents))
      Version.Peers.push_back({Replica, Addresses[Replica.Host]});
    Result.push_back(std::move(Version));
  }
  return Result;
}

bool holdsAll(const ChunkStore &Store, const swarm::Manifest &Whole) {
  return std::all_of(
      Whole.Chunks.begin(), Whole.Chunks.end(),
      [&](const swarm::ManifestChunk &C) { return Store.holds(C.Id); });
}

void describeFetch(const WantedEntry &Want, const swarm::Manifest *Whole,
                   const ChunkStore &Store, wire::Holding &Holding) {
  std::string Version(Want.Version.bytes());
  if (Holding.version() == Version)
    return;
  Holding.set_fetching(Version);
  Holding.set_load_error(Want.LoadError);
  if (Want.givenUp())
    Holding.set_failed_version(Version);
  if (!Whole)
    return;
  auto Held = std::count_if(
      Whole->Chunks.begin(), Whole->Chunks.end(),
      [&](const swarm::ManifestChunk &C) { return Store.holds(C.Id); });
  Holding.set_fetched_permille(
      static_cast<std::uint32_t>(1000 * Held / Whole->Chunks.size()));
}

} // namespace rosemarylane
