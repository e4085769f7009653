#include "agent/ManifestFetch.h"

#include "core/Rendezvous.h"

#include <algorithm>

namespace rosemarylane {

namespace {

constexpr std::chrono::milliseconds PollDelay{50};
constexpr std::chrono::seconds AnswerTimeout{3};

} // namespace

ManifestFetch::Search *ManifestFetch::find(const core::Digest &Version) {
  auto Found = Searches.find(Version);
  return Found == Searches.end() ? nullptr : &Found->second;
}

void ManifestFetch::advance(const ChunkExchange::Wanted &Want,
                            core::TimePoint Now) {
  Search &State = Searches[Want.Version];
  if (State.Asked && Now - State.AskedAt > AnswerTimeout) {
    State.Asked = false;
    ++State.Attempt;
  }
  if (State.Asked || Now < State.RetryAt)
    return;
  State.Asked = true;
  State.AskedAt = Now;
  if (Store.holds(Want.Version))
    readBack(Want.Version);
  else
    ask(Want, State);
}

void ManifestFetch::readBack(const core::Digest &Version) {
  Store.read(Version, [this, Version](const ChunkStore::Bytes &Data) {
    Search *State = find(Version);
    if (!State)
      return;
    State->Asked = false;
    if (!Data)
      return;
    auto Parsed = swarm::Manifest::parseVersion(Version, *Data);
    if (!Parsed) {
      Store.remove(Version);
      return;
    }
    forget(Version);
    To.OnFound(Version, std::move(*Parsed));
  });
}

/// Asks the first in rank of the failure domain, who asks the first of the
/// fleet, who asks the origin; the next of them after a failure.
void ManifestFetch::ask(const ChunkExchange::Wanted &Want,
                        const Search &State) {
  auto Ranked =
      core::rendezvousRank(Want.Version.bytes(), Want.Peers,
                           [](const SharingPeer &P) -> std::string_view {
                             return P.Host.Host.str();
                           });
  std::vector<const SharingPeer *> Sources;
  auto AddUnlessSelf = [&](const SharingPeer &Peer) {
    if (Peer.Host.Host != Self.Host)
      Sources.push_back(&Peer);
  };
  bool FleetFirst = !Ranked.empty() && Ranked[0].Host.Host == Self.Host;
  auto DomainFirst =
      std::find_if(Ranked.begin(), Ranked.end(), [&](const SharingPeer &P) {
        return P.Host.FailureDomain == Self.FailureDomain;
      });
  if (DomainFirst != Ranked.end() && !FleetFirst)
    AddUnlessSelf(*DomainFirst);
  if (!Ranked.empty())
    AddUnlessSelf(Ranked[0]);
  Sources.push_back(nullptr);

  ChunkTransfers::Asked What{Want.Version, Want.Version};
  if (const SharingPeer *From = Sources[State.Attempt % Sources.size()]) {
    What.From = distance(Self, From->Host);
    What.Address = From->Address;
  }
  Transfers.ask(What, [this, Version = Want.Version](ChunkTransfers::Status How,
                                                     std::string Data) {
    ended(Version, How, std::move(Data));
  });
}

void ManifestFetch::ended(const core::Digest &Version,
                          ChunkTransfers::Status How, std::string Data) {
  Search *State = find(Version);
  if (!State)
    return;
  if (How != ChunkTransfers::Status::Data) {
    State->Asked = false;
    State->RetryAt = std::chrono::steady_clock::now() + PollDelay;
    if (How == ChunkTransfers::Status::Failed)
      ++State->Attempt;
    return;
  }
  Store.write(Version, std::move(Data), [this, Version](auto Written) {
    if (Search *State = find(Version))
      State->Asked = false;
    if (!Written && Written.error().What == EngineError::Kind::Full)
      To.OnFull(Version);
  });
}

} // namespace rosemarylane
