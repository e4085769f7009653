#include "swarm/SwarmPlanner.h"

#include "OriginBudget.h"
#include "PlannerState.h"
#include "swarm/ReaderRanks.h"

#include "core/Rendezvous.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <random>

namespace rosemarylane::swarm {

namespace {

using core::TimePoint;
using Index = std::uint32_t;

class RarestFirstPlanner final : public SwarmPlanner {
public:
  RarestFirstPlanner(core::HostId Self, core::Digest Version,
                     std::vector<core::Digest> Chunks, ChunkSet Held,
                     PlannerSettings Settings, std::uint64_t Seed)
      : Self(std::move(Self)), Version(Version), Ids(std::move(Chunks)),
        Settings(Settings), Random(Seed), Own(std::move(Held)), Seen(Own),
        Pending(Ids.size()), States(Ids.size()), Rarity(Ids.size()) {
    assert(Own.size() == Ids.size());
  }

  void setMembers(std::vector<EngineHost> Hosts, std::uint32_t Wanted,
                  TimePoint Now) override {
    auto Mine = std::find_if(Hosts.begin(), Hosts.end(),
                             [&](const auto &H) { return H.Host == Self; });
    if (Mine == Hosts.end())
      return;
    if (Members.empty())
      Started = Now;
    MembersChanged = Now;
    Replicas = Wanted;
    SelfIndex = static_cast<Index>(Mine - Hosts.begin());
    Members = std::move(Hosts);
    Ranks = ReaderRanks(Version, Ids, Members, SelfIndex);
    Budget.setFleet(Ids.size(), Members.size(), Replicas, Ranks.gateways(),
                    Settings.CopyTime);
    chooseView();
    dropFetchesOfLeavers();
    listReads();
    LastProgress = Now;
  }

  void originAway(TimePoint Now) override { LastProgress = Now; }

  const std::vector<core::HostId> &view() const override { return ViewHosts; }

  void peerHolds(const core::HostId &Host, ChunkSet Chunks,
                 TimePoint Now) override {
    ViewPeer *Peer = viewPeer(Host);
    if (!Peer || Chunks.size() != Ids.size())
      return;
    Peer->Heard = true;
    ChunkSet Changed = Peer->Held;
    Changed ^= Chunks;
    Changed.forEach([&](std::size_t C) {
      if (!Chunks.contains(C)) {
        --Rarity[C];
        return;
      }
      ++Rarity[C];
      sawChunk(C, Now);
    });
    Peer->Held = std::move(Chunks);
  }

  void demanded(std::size_t Chunk, ChunkFetch::Source As) override {
    ChunkState &State = States[Chunk];
    bool Known = reads(Chunk);
    State.RegionDemands |= As == ChunkFetch::Source::RegionReader;
    State.FleetDemands |= As == ChunkFetch::Source::FleetReader;
    if (!Known && reads(Chunk))
      Reads.push_back(Chunk);
  }

  std::vector<ChunkFetch> plan(TimePoint Now,
                               std::size_t RemoteReads) override {
    std::vector<ChunkFetch> Result;
    if (Members.empty() || Own.full())
      return Result;
    giveUpLate(Now);
    if (listened(Now)) {
      planReads(Now, RemoteReads, Result);
      planStepIns(Now, RemoteReads, Result);
    }
    planPulls(Now, Result);
    return Result;
  }

  double regionPart() const override { return Ranks.regionPart(); }

  bool saturated() const override { return Pulls >= Settings.PullsAtOnce; }

  bool finished(std::uint64_t Id, FetchOutcome Outcome,
                TimePoint Now) override {
    auto Found = Fetches.find(Id);
    if (Found == Fetches.end())
      return false;
    if (Outcome == FetchOutcome::Queued) {
      Found->second.Deadline =
          Now + (remote(Found->second.Fetch.From) ? Settings.RemoteTimeout
                                                  : Settings.StallTimeout);
      Found->second.Queued = true;
      return true;
    }
    ChunkFetch Fetch = Found->second.Fetch;
    end(Found);
    switch (Outcome) {
    case FetchOutcome::Stored:
      return store(Fetch.Chunk, Now);
    case FetchOutcome::Busy:
      // A reader that takes no request cannot read now: the next in rank can.
      if (Fetch.From != ChunkFetch::Source::Neighbour)
        ++States[Fetch.Chunk].Attempt;
      notNow(Fetch, Now, Settings.BusyDelay);
      break;
    case FetchOutcome::NotHeld:
      notHeld(Fetch, Now);
      break;
    default:
      failed(Fetch, Now);
    }
    return true;
  }

  void storedLate(std::size_t Chunk, TimePoint Now) override {
    store(Chunk, Now);
  }

  void lost(std::size_t Chunk) override {
    Own.erase(Chunk);
    listReads();
  }

  const ChunkSet &held() const override { return Own; }

private:
  // ---- Members and view ----

  void chooseView() {
    std::vector<core::HostId> Neighbours;
    for (const EngineHost &Member : Members)
      if (Member.FailureDomain == Members[SelfIndex].FailureDomain &&
          Member.Host != Self)
        Neighbours.push_back(Member.Host);
    Neighbours = core::rendezvousRank(
        Self.str(), std::move(Neighbours),
        [](const core::HostId &H) -> std::string_view { return H.str(); });
    Neighbours.resize(std::min(Neighbours.size(), Settings.ViewSize));
    std::vector<ViewPeer> Next;
    for (const core::HostId &Host : Neighbours) {
      ViewPeer *Old = viewPeer(Host);
      Next.push_back(Old ? std::move(*Old)
                         : ViewPeer{Host, ChunkSet(Ids.size())});
    }
    View = std::move(Next);
    ViewHosts = std::move(Neighbours);
    std::fill(Rarity.begin(), Rarity.end(), 0);
    for (const ViewPeer &Peer : View)
      Peer.Held.forEach([&](std::size_t C) { ++Rarity[C]; });
  }

  ViewPeer *viewPeer(const core::HostId &Host) {
    auto Found = std::find_if(View.begin(), View.end(),
                              [&](const auto &P) { return P.Host == Host; });
    return Found == View.end() ? nullptr : &*Found;
  }

  void dropFetchesOfLeavers() {
    for (auto Item = Fetches.begin(); Item != Fetches.end();) {
      const core::HostId &Host = Item->second.Fetch.Host;
      bool Present = Host.empty() ||
                     std::any_of(Members.begin(), Members.end(),
                                 [&](const auto &M) { return M.Host == Host; });
      Item = Present ? std::next(Item) : end(Item);
    }
  }

  void listReads() {
    Reads.clear();
    if (Members.empty())
      return;
    for (std::size_t C = 0; C < Ids.size(); ++C)
      if (!Own.contains(C) && reads(C))
        Reads.push_back(C);
  }

  /// Whether this host brings \p Chunk to others.
  bool reads(std::size_t Chunk) const {
    return Ranks.readers(Chunk).DomainRank == 0 ||
           States[Chunk].RegionDemands || States[Chunk].FleetDemands;
  }

  bool listened(TimePoint Now) const {
    if (Members.size() < Replicas &&
        Now - MembersChanged < Settings.SettleTime &&
        Now - Started < SettlePeriods * Settings.SettleTime)
      return false;
    return Now - Started >= Settings.ListenTime ||
           std::all_of(View.begin(), View.end(),
                       [](const ViewPeer &P) { return P.Heard; });
  }

  // ---- Fetches in progress ----

  using FetchMap = std::map<std::uint64_t, Progress>;

  void begin(std::size_t Chunk, ChunkFetch::Source From, core::HostId Host,
             TimePoint Now, std::vector<ChunkFetch> &Result) {
    ChunkFetch Fetch{NextId++, Chunk, From, std::move(Host)};
    if (From == ChunkFetch::Source::Neighbour) {
      ++Pulls;
      ++viewPeer(Fetch.Host)->Fetches;
    }
    Remote += remote(From);
    ++States[Chunk].Fetches;
    Pending.insert(Chunk);
    auto Timeout = From == ChunkFetch::Source::Origin ? Settings.RemoteTimeout
                                                      : Settings.RequestTimeout;
    Fetches[Fetch.Id] = {Fetch, Now, Now + Timeout};
    Result.push_back(std::move(Fetch));
  }

  FetchMap::iterator end(FetchMap::iterator Item) {
    const ChunkFetch &Fetch = Item->second.Fetch;
    if (Fetch.From == ChunkFetch::Source::Neighbour) {
      --Pulls;
      if (ViewPeer *Peer = viewPeer(Fetch.Host))
        --Peer->Fetches;
    }
    Remote -= remote(Fetch.From);
    if (--States[Fetch.Chunk].Fetches == 0)
      Pending.erase(Fetch.Chunk);
    return Fetches.erase(Item);
  }

  static bool remote(ChunkFetch::Source From) {
    return From == ChunkFetch::Source::Origin ||
           From == ChunkFetch::Source::FleetReader;
  }

  bool store(std::size_t Chunk, TimePoint Now) {
    if (Own.contains(Chunk))
      return false;
    Own.insert(Chunk);
    sawChunk(Chunk, Now);
    return true;
  }

  void sawChunk(std::size_t Chunk, TimePoint Now) {
    if (Seen.contains(Chunk))
      return;
    Seen.insert(Chunk);
    LastProgress = Now;
  }

  void notNow(const ChunkFetch &Fetch, TimePoint Now,
              std::chrono::nanoseconds Delay) {
    if (Fetch.From != ChunkFetch::Source::Neighbour)
      States[Fetch.Chunk].RetryAt = Now + Settings.PollDelay;
    else if (ViewPeer *Peer = viewPeer(Fetch.Host))
      Peer->AvoidUntil = Now + Delay;
  }

  void notHeld(const ChunkFetch &Fetch, TimePoint Now) {
    if (Fetch.From != ChunkFetch::Source::Neighbour) {
      States[Fetch.Chunk].RetryAt = Now + Settings.PollDelay;
      if (Now - LastProgress > Settings.StallTimeout)
        ++States[Fetch.Chunk].Attempt;
      return;
    }
    ViewPeer *Peer = viewPeer(Fetch.Host);
    if (Peer && Peer->Held.contains(Fetch.Chunk)) {
      Peer->Held.erase(Fetch.Chunk);
      --Rarity[Fetch.Chunk];
    }
  }

  void failed(const ChunkFetch &Fetch, TimePoint Now) {
    if (Fetch.From != ChunkFetch::Source::Neighbour)
      ++States[Fetch.Chunk].Attempt;
    notNow(Fetch, Now, Settings.RequestTimeout);
  }

  void giveUpLate(TimePoint Now) {
    if (Now < NextExpiry)
      return;
    NextExpiry = Now + Settings.RequestTimeout / 8;
    for (auto Item = Fetches.begin(); Item != Fetches.end();) {
      if (Item->second.Deadline > Now) {
        ++Item;
        continue;
      }
      ChunkFetch Fetch = Item->second.Fetch;
      bool Queued = Item->second.Queued;
      Item = end(Item);
      // A reader that has the request queued is asked again while chunks
      // still come; the next in rank is asked only when they do not.
      if (!Queued || Now - LastProgress > Settings.StallTimeout)
        failed(Fetch, Now);
    }
  }

  // ---- Reads from outside of the failure domain ----

  /// Where this host gets \p Chunk from as a reader, best source first.
  std::vector<SourceChoice> sources(std::size_t Chunk) const {
    const ReaderRanks::Readers &R = Ranks.readers(Chunk);
    const ChunkState &State = States[Chunk];
    std::vector<SourceChoice> Result;
    auto Add = [&](ChunkFetch::Source From, Index Host) {
      bool Known = std::any_of(Result.begin(), Result.end(),
                               [&](const auto &C) { return C.Host == Host; });
      if (Host != SelfIndex && Host != ReaderRanks::None && !Known)
        Result.push_back({From, Host});
    };
    bool ReadsOrigin = R.Fleet[0] == SelfIndex ||
                       (R.Fleet[1] == SelfIndex && State.FleetDemands);
    bool ReadsFleet = R.Region[0] == SelfIndex ||
                      (R.Region[1] == SelfIndex && State.RegionDemands);
    if (!ReadsOrigin && !ReadsFleet)
      for (Index Reader : R.Region)
        Add(ChunkFetch::Source::RegionReader, Reader);
    if (!ReadsOrigin && (ReadsFleet || Ranks.gateway()))
      for (Index Reader : R.Fleet)
        Add(ChunkFetch::Source::FleetReader, Reader);
    if (ReadsOrigin || Ranks.gateway())
      Result.push_back({ChunkFetch::Source::Origin});
    return Result;
  }

  void planReads(TimePoint Now, std::size_t &RemoteReads,
                 std::vector<ChunkFetch> &Result) {
    std::erase_if(Reads, [&](std::size_t C) { return Own.contains(C); });
    for (std::size_t C : Reads)
      if (!Pending.contains(C) && Rarity[C] == 0 && States[C].RetryAt <= Now)
        read(C, Now, RemoteReads, Result);
  }

  /// Takes over from readers that bring nothing.
  void planStepIns(TimePoint Now, std::size_t &RemoteReads,
                   std::vector<ChunkFetch> &Result) {
    auto Stalled = Now - LastProgress;
    if (Stalled <= Settings.StallTimeout)
      return;
    for (std::size_t C = 0; C < Ids.size(); ++C) {
      std::uint32_t Rank = Ranks.readers(C).DomainRank;
      if (Own.contains(C) || Pending.contains(C) || Rarity[C] != 0 ||
          Rank == 0 || Stalled <= Settings.StallTimeout * Rank ||
          States[C].RetryAt > Now)
        continue;
      read(C, Now, RemoteReads, Result);
    }
  }

  void read(std::size_t Chunk, TimePoint Now, std::size_t &RemoteReads,
            std::vector<ChunkFetch> &Result) {
    std::vector<SourceChoice> Sources = sources(Chunk);
    if (Sources.empty())
      return;
    const SourceChoice &Choice =
        Sources[States[Chunk].Attempt % Sources.size()];
    if (remote(Choice.From) &&
        (RemoteReads == 0 || Remote >= Settings.RemoteReadsAtOnce))
      return;
    if (Choice.From == ChunkFetch::Source::Origin) {
      bool First = Ranks.readers(Chunk).Fleet[0] == SelfIndex;
      if (!Budget.take(First, Now))
        return;
      --RemoteReads;
      begin(Chunk, Choice.From, core::HostId(), Now, Result);
      return;
    }
    if (remote(Choice.From))
      --RemoteReads;
    begin(Chunk, Choice.From, Members[Choice.Host].Host, Now, Result);
  }

  // ---- Pulls inside the failure domain ----

  void planPulls(TimePoint Now, std::vector<ChunkFetch> &Result) {
    while (Pulls < Settings.PullsAtOnce) {
      std::vector<ViewPeer *> Idle;
      ChunkSet Offered(Ids.size());
      for (ViewPeer &Peer : View)
        if (Peer.Fetches == 0 && Peer.AvoidUntil <= Now) {
          Idle.push_back(&Peer);
          Offered |= Peer.Held;
        }
      if (Idle.empty())
        return;
      Offered -= Own;
      auto Chunk = rarest(Offered, Now);
      if (!Chunk)
        return;
      begin(*Chunk, ChunkFetch::Source::Neighbour, holder(Idle, *Chunk), Now,
            Result);
    }
  }

  /// @return a chunk of \p Offered that fewest peers hold, any of them with the
  /// same chance; none if there is nothing to ask for.
  std::optional<std::size_t> rarest(const ChunkSet &Offered, TimePoint Now) {
    ChunkSet Fresh = Offered;
    Fresh -= Pending;
    std::optional<std::size_t> Best;
    std::size_t Ties = 0;
    Fresh.forEach([&](std::size_t C) {
      if (Best && Rarity[C] > Rarity[*Best])
        return;
      if (Best && Rarity[C] < Rarity[*Best])
        Ties = 0;
      if (Random() % ++Ties == 0)
        Best = C;
    });
    return Best ? Best : overdue(Offered, Now);
  }

  /// At the end, a chunk that a slow peer owes may be asked for twice.
  std::optional<std::size_t> overdue(const ChunkSet &Offered, TimePoint Now) {
    if (Duplicates >= std::max<std::size_t>(1, Ids.size() / DuplicateDivisor))
      return std::nullopt;
    for (const auto &[Id, Item] : Fetches) {
      bool Late = Now - Item.SentAt > Settings.RequestTimeout / 2;
      std::size_t Chunk = Item.Fetch.Chunk;
      if (Late && Offered.contains(Chunk) && States[Chunk].Fetches == 1) {
        ++Duplicates;
        return Chunk;
      }
    }
    return std::nullopt;
  }

  core::HostId holder(const std::vector<ViewPeer *> &Idle, std::size_t Chunk) {
    const ViewPeer *Best = nullptr;
    std::size_t Ties = 0;
    for (const ViewPeer *Peer : Idle)
      if (Peer->Held.contains(Chunk) && Random() % ++Ties == 0)
        Best = Peer;
    return Best->Host;
  }

  const core::HostId Self;
  const core::Digest Version;
  const std::vector<core::Digest> Ids;
  const PlannerSettings Settings;
  std::mt19937_64 Random;

  std::vector<EngineHost> Members;
  std::uint32_t Replicas = 0;
  Index SelfIndex = 0;
  ReaderRanks Ranks;
  OriginBudget Budget;
  std::vector<ViewPeer> View;
  std::vector<core::HostId> ViewHosts;

  ChunkSet Own;
  /// Held here or by a peer of the view at any time.
  ChunkSet Seen;
  /// Asked for and not answered yet.
  ChunkSet Pending;
  std::vector<ChunkState> States;
  /// Peers of the view that hold each chunk.
  std::vector<std::uint32_t> Rarity;
  /// Missing chunks that this host reads for its failure domain or for others.
  std::vector<std::size_t> Reads;

  FetchMap Fetches;
  std::uint64_t NextId = 1;
  std::size_t Pulls = 0;
  std::size_t Remote = 0;
  std::size_t Duplicates = 0;
  TimePoint Started{};
  TimePoint MembersChanged{};
  TimePoint LastProgress{};
  TimePoint NextExpiry{};
};

} // namespace

std::unique_ptr<SwarmPlanner>
SwarmPlanner::create(core::HostId Self, core::Digest Version,
                     std::vector<core::Digest> Chunks, ChunkSet Held,
                     PlannerSettings Settings, std::uint64_t Seed) {
  return std::make_unique<RarestFirstPlanner>(std::move(Self), Version,
                                              std::move(Chunks),
                                              std::move(Held), Settings, Seed);
}

} // namespace rosemarylane::swarm
