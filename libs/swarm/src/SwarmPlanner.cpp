#include "swarm/SwarmPlanner.h"

#include "FetchesInProgress.h"
#include "OriginBudget.h"
#include "PeerView.h"
#include "PlannerState.h"
#include "ReadSources.h"
#include "TrackedHosts.h"
#include "swarm/ReaderRanks.h"

#include <algorithm>
#include <cassert>
#include <random>

namespace rosemarylane::swarm {

namespace {

using core::TimePoint;
using Index = std::uint32_t;

/// Readers fetch chunks into the failure domain, where peers pull the rarest
/// ones first.
class RarestFirstPlanner final : public SwarmPlanner {
public:
  RarestFirstPlanner(core::HostId Self, core::Digest Version,
                     std::vector<core::Digest> Chunks, ChunkSet Held,
                     PlannerSettings Settings, std::uint64_t Seed)
      : Self(std::move(Self)), Version(Version), ChunkIds(std::move(Chunks)),
        Settings(Settings), Random(Seed), HeldChunks(std::move(Held)),
        SeenChunks(HeldChunks), Fetches(ChunkIds.size()),
        ChunkStates(ChunkIds.size()), View(ChunkIds.size()),
        RemoteView(ChunkIds.size()) {
    assert(HeldChunks.size() == ChunkIds.size());
  }

  void setMembers(std::vector<EngineHost> Hosts, std::uint32_t ReplicaCount,
                  TimePoint Now) override {
    auto SelfItem = std::find_if(Hosts.begin(), Hosts.end(),
                                 [&](const auto &H) { return H.Host == Self; });
    if (SelfItem == Hosts.end())
      return;
    if (Members.empty())
      StartedAt = Now;
    MembersChangedAt = Now;
    Replicas = ReplicaCount;
    SelfIndex = static_cast<Index>(SelfItem - Hosts.begin());
    Members = std::move(Hosts);
    Ranks = ReaderRanks(Version, ChunkIds, Members, SelfIndex);
    Budget.setFleet(ChunkIds.size(), Members.size(), Replicas,
                    Ranks.ingressHostCount(), Settings.CopyTime);
    const EngineHost &SelfHost = Members[SelfIndex];
    View.update(trackedInDomain(Members, SelfHost, Settings.ViewSize));
    RemoteView.update(
        trackedInOtherRegions(Members, SelfHost, Settings.RemoteViewSize));
    cancelFetchesFromDepartedHosts();
    updateChunksToRead();
    StallTimerStart = Now;
    LastSeenAt = Now;
  }

  void markOriginUnreachable(TimePoint At) override {
    StallTimerStart = std::max(StallTimerStart, At);
  }

  void setSuperseded(bool IsSuperseded) override { Superseded = IsSuperseded; }

  const std::vector<core::HostId> &view() const override {
    return View.hosts();
  }

  const std::vector<core::HostId> &remoteView() const override {
    return RemoteView.hosts();
  }

  void peerHolds(const core::HostId &Host, ChunkSet Chunks,
                 TimePoint Now) override {
    if (Chunks.size() != ChunkIds.size())
      return;
    if (ViewPeer *Remote = RemoteView.find(Host)) {
      RemoteView.recordHoldings(*Remote, std::move(Chunks))
          .forEach([&](std::size_t C) {
            TimePoint &Since = ChunkStates[C].HeldRemotelySince;
            if (Since == TimePoint())
              Since = Now;
          });
      return;
    }
    ViewPeer *Peer = View.find(Host);
    if (!Peer)
      return;
    ChunkSet Gained = View.recordHoldings(*Peer, std::move(Chunks));
    Gained.forEach([&](std::size_t C) { markSeen(C, Now); });
  }

  void markDemanded(std::size_t Chunk, ChunkFetch::Source As) override {
    ChunkState &State = ChunkStates[Chunk];
    bool WasReader = isReader(Chunk);
    State.NeededByRegion |= As == ChunkFetch::Source::RegionReader;
    State.NeededByFleet |= As == ChunkFetch::Source::FleetReader;
    if (!WasReader && isReader(Chunk))
      ChunksToRead.push_back(Chunk);
  }

  std::vector<ChunkFetch> plan(TimePoint Now,
                               std::size_t RemoteReads) override {
    std::vector<ChunkFetch> Result;
    if (Members.empty() || HeldChunks.full())
      return Result;
    expireFetches(Now);
    if (readyToRead(Now)) {
      planReads(Now, RemoteReads, Result);
      planTakeovers(Now, RemoteReads, Result);
    }
    planPulls(Now, Result);
    return Result;
  }

  double regionShare() const override { return Ranks.regionShare(); }

  bool pullLimitReached() const override {
    return Fetches.pulls() >= Settings.MaxPulls;
  }

  bool reportOutcome(std::uint64_t Id, FetchOutcome Outcome,
                     TimePoint Now) override {
    FetchesInProgress::Item *Found = Fetches.find(Id);
    if (!Found)
      return false;
    if (Outcome == FetchOutcome::Queued) {
      Found->Deadline =
          Now + (isRemote(Found->Fetch.From) ? Settings.RemoteTimeout
                                             : Settings.StallTimeout);
      Found->Queued = true;
      return true;
    }
    ChunkFetch Fetch = Found->Fetch;
    endFetch(Fetch);
    switch (Outcome) {
    case FetchOutcome::Stored:
      return addChunk(Fetch.Chunk, Now);
    case FetchOutcome::Busy:
      // The next read of the chunk goes to the next source in rank.
      if (Fetch.From != ChunkFetch::Source::DomainPeer)
        ++ChunkStates[Fetch.Chunk].FailedAttempts;
      backOff(Fetch, Now, Settings.BusyDelay);
      break;
    case FetchOutcome::NotHeld:
      handleNotHeld(Fetch, Now);
      break;
    default:
      handleFailure(Fetch, Now);
    }
    return true;
  }

  void markStored(std::size_t Chunk, TimePoint Now) override {
    addChunk(Chunk, Now);
  }

  void markLost(std::size_t Chunk) override {
    HeldChunks.erase(Chunk);
    updateChunksToRead();
  }

  const ChunkSet &held() const override { return HeldChunks; }

private:
  // ---- Members and view ----

  void cancelFetchesFromDepartedHosts() {
    auto Departed = [this](const FetchesInProgress::Item &Item) {
      const core::HostId &Host = Item.Fetch.Host;
      return !Host.empty() &&
             std::none_of(Members.begin(), Members.end(),
                          [&](const auto &M) { return M.Host == Host; });
    };
    for (const FetchesInProgress::Item &Item : Fetches.matching(Departed))
      endFetch(Item.Fetch);
  }

  void updateChunksToRead() {
    ChunksToRead.clear();
    if (Members.empty())
      return;
    for (std::size_t C = 0; C < ChunkIds.size(); ++C)
      if (!HeldChunks.contains(C) && isReader(C))
        ChunksToRead.push_back(C);
  }

  /// @return whether this host reads \p Chunk for other hosts.
  bool isReader(std::size_t Chunk) const {
    return Ranks.readers(Chunk).OwnDomainRank == 0 ||
           ChunkStates[Chunk].NeededByRegion ||
           ChunkStates[Chunk].NeededByFleet;
  }

  /// @return whether members and holdings are known well enough to read from
  /// outside the failure domain.
  bool readyToRead(TimePoint Now) const {
    if (Members.size() < Replicas &&
        Now - MembersChangedAt < Settings.SettleTime &&
        Now - StartedAt < MaxSettlePeriods * Settings.SettleTime)
      return false;
    return Now - StartedAt >= Settings.DiscoveryTime || View.allHoldingsKnown();
  }

  // ---- Fetches in progress ----

  void beginFetch(std::size_t Chunk, ChunkFetch::Source From, core::HostId Host,
                  TimePoint Now, std::vector<ChunkFetch> &Result) {
    if (From == ChunkFetch::Source::DomainPeer)
      ++View.find(Host)->ActiveFetches;
    auto Timeout = From == ChunkFetch::Source::Origin ? Settings.RemoteTimeout
                                                      : Settings.RequestTimeout;
    Result.push_back(Fetches.begin(Chunk, From, std::move(Host), Now, Timeout));
  }

  void endFetch(const ChunkFetch &Fetch) {
    if (Fetch.From == ChunkFetch::Source::DomainPeer)
      if (ViewPeer *Peer = View.find(Fetch.Host))
        --Peer->ActiveFetches;
    Fetches.end(Fetch.Id);
  }

  bool addChunk(std::size_t Chunk, TimePoint Now) {
    if (HeldChunks.contains(Chunk))
      return false;
    HeldChunks.insert(Chunk);
    markSeen(Chunk, Now);
    return true;
  }

  /// Restarts the stall timeout when a chunk is seen for the first time.
  void markSeen(std::size_t Chunk, TimePoint Now) {
    if (SeenChunks.contains(Chunk))
      return;
    SeenChunks.insert(Chunk);
    StallTimerStart = Now;
    LastSeenAt = Now;
  }

  /// Delays further requests after a failed fetch. After a pull, the peer is
  /// not asked for \p PeerDelay. After a read, the chunk is not read again for
  /// `PollDelay`, and the source stays available for other chunks.
  void backOff(const ChunkFetch &Fetch, TimePoint Now,
               std::chrono::nanoseconds PeerDelay) {
    if (Fetch.From != ChunkFetch::Source::DomainPeer)
      ChunkStates[Fetch.Chunk].RetryAt = Now + Settings.PollDelay;
    else if (ViewPeer *Peer = View.find(Fetch.Host))
      Peer->AvoidUntil = Now + PeerDelay;
    if (Fetch.From == ChunkFetch::Source::RemoteHolder)
      if (ViewPeer *Peer = RemoteView.find(Fetch.Host))
        Peer->AvoidUntil = Now + PeerDelay;
  }

  void handleNotHeld(const ChunkFetch &Fetch, TimePoint Now) {
    if (Fetch.From == ChunkFetch::Source::RemoteHolder) {
      if (ViewPeer *Peer = RemoteView.find(Fetch.Host))
        RemoteView.removeHolding(*Peer, Fetch.Chunk);
      return;
    }
    if (Fetch.From != ChunkFetch::Source::DomainPeer) {
      ChunkStates[Fetch.Chunk].SourceLacked = true;
      ChunkStates[Fetch.Chunk].RetryAt = Now + Settings.PollDelay;
      if (Now - StallTimerStart > Settings.StallTimeout)
        ++ChunkStates[Fetch.Chunk].FailedAttempts;
      return;
    }
    ViewPeer *Peer = View.find(Fetch.Host);
    if (Peer)
      View.removeHolding(*Peer, Fetch.Chunk);
  }

  void handleFailure(const ChunkFetch &Fetch, TimePoint Now) {
    if (Fetch.From != ChunkFetch::Source::DomainPeer)
      ++ChunkStates[Fetch.Chunk].FailedAttempts;
    backOff(Fetch, Now, Settings.RequestTimeout);
  }

  void expireFetches(TimePoint Now) {
    if (Now < NextExpiryCheck)
      return;
    NextExpiryCheck = Now + Settings.RequestTimeout / 8;
    auto Expired = [Now](const FetchesInProgress::Item &Item) {
      return Item.Deadline <= Now;
    };
    for (const FetchesInProgress::Item &Item : Fetches.matching(Expired)) {
      endFetch(Item.Fetch);
      // A reader that has queued the request is asked again while new chunks
      // arrive. The next source in rank is asked only after a stall.
      if (!Item.Queued || Now - StallTimerStart > Settings.StallTimeout)
        handleFailure(Item.Fetch, Now);
    }
  }

  // ---- Reads from outside the failure domain ----

  void planReads(TimePoint Now, std::size_t &RemoteReads,
                 std::vector<ChunkFetch> &Result) {
    std::erase_if(ChunksToRead,
                  [&](std::size_t C) { return HeldChunks.contains(C); });
    for (std::size_t C : ChunksToRead)
      if (!Fetches.chunks().contains(C) && View.holderCount(C) == 0 &&
          ChunkStates[C].RetryAt <= Now)
        planRead(C, Now, RemoteReads, Result);
  }

  /// Plans reads in place of readers that have stalled.
  void planTakeovers(TimePoint Now, std::size_t &RemoteReads,
                     std::vector<ChunkFetch> &Result) {
    // Never later than `StallTimerStart`.
    if (Now - LastSeenAt <= Settings.StallTimeout)
      return;
    for (std::size_t C = 0; C < ChunkIds.size(); ++C) {
      std::uint32_t Rank = Ranks.readers(C).OwnDomainRank;
      if (HeldChunks.contains(C) || Fetches.chunks().contains(C) ||
          View.holderCount(C) != 0 || Rank == 0 ||
          ChunkStates[C].RetryAt > Now ||
          stalledFor(C, Now) <= Settings.StallTimeout * Rank)
        continue;
      planRead(C, Now, RemoteReads, Result);
    }
  }

  /// @return how long the chunk has not reached the failure domain although it
  /// could have. While the origin is away, only a chunk that another region
  /// holds could have.
  std::chrono::nanoseconds stalledFor(std::size_t Chunk, TimePoint Now) const {
    if (RemoteView.holderCount(Chunk) == 0)
      return Now - StallTimerStart;
    return Now - std::max(LastSeenAt, ChunkStates[Chunk].HeldRemotelySince);
  }

  /// @return whether the chunk is to be read from any host of another region
  /// that holds it, since its readers do not deliver it.
  bool bypassesReaders(std::size_t Chunk, TimePoint Now) const {
    const ChunkState &State = ChunkStates[Chunk];
    bool ReadsForRegion =
        Ranks.readers(Chunk).Region[0] == SelfIndex || State.NeededByRegion;
    return (ReadsForRegion && State.SourceLacked) ||
           stalledFor(Chunk, Now) > Settings.StallTimeout;
  }

  /// @return whether a chunk may be read from the origin for a version that is
  /// to be served for a short time only.
  bool mayReadOrigin() const {
    if (!Superseded)
      return true;
    std::size_t Seen = 0;
    for (std::size_t C = 0; C < ChunkIds.size(); ++C)
      Seen += SeenChunks.contains(C) || RemoteView.holderCount(C) > 0;
    return static_cast<double>(Seen) >=
           MinSeenFractionIfSuperseded * static_cast<double>(ChunkIds.size());
  }

  void planRead(std::size_t Chunk, TimePoint Now, std::size_t &RemoteReads,
                std::vector<ChunkFetch> &Result) {
    const ViewPeer *Holder = bypassesReaders(Chunk, Now)
                                 ? RemoteView.pickHolder(Chunk, Now, Random)
                                 : nullptr;
    if (Holder) {
      if (RemoteReads == 0 || Fetches.remoteReads() >= Settings.MaxRemoteReads)
        return;
      --RemoteReads;
      beginFetch(Chunk, ChunkFetch::Source::RemoteHolder, Holder->Host, Now,
                 Result);
      return;
    }
    std::vector<SourceChoice> Sources =
        readSources(Ranks, Chunk, ChunkStates[Chunk], SelfIndex);
    if (Sources.empty())
      return;
    const SourceChoice &Choice =
        Sources[ChunkStates[Chunk].FailedAttempts % Sources.size()];
    if (isRemote(Choice.From) &&
        (RemoteReads == 0 || Fetches.remoteReads() >= Settings.MaxRemoteReads))
      return;
    if (Choice.From == ChunkFetch::Source::Origin) {
      if (Fetches.originReads() >= Settings.MaxOriginReads || !mayReadOrigin())
        return;
      bool IsFleetReader = Ranks.readers(Chunk).Fleet[0] == SelfIndex;
      if (!Budget.tryAcquire(IsFleetReader, Now))
        return;
      --RemoteReads;
      beginFetch(Chunk, Choice.From, core::HostId(), Now, Result);
      return;
    }
    if (isRemote(Choice.From))
      --RemoteReads;
    beginFetch(Chunk, Choice.From, Members[Choice.Host].Host, Now, Result);
  }

  // ---- Pulls within the failure domain ----

  void planPulls(TimePoint Now, std::vector<ChunkFetch> &Result) {
    while (Fetches.pulls() < Settings.MaxPulls) {
      ChunkSet Offered = View.offered(Now);
      Offered -= HeldChunks;
      auto Chunk = rarestChunk(Offered, Now);
      if (!Chunk)
        return;
      beginFetch(*Chunk, ChunkFetch::Source::DomainPeer,
                 View.pickHolder(*Chunk, Now, Random)->Host, Now, Result);
    }
  }

  /// @return a chunk of \p Offered that the fewest peers hold, chosen uniformly
  /// at random among equals; none if there is nothing to request.
  std::optional<std::size_t> rarestChunk(const ChunkSet &Offered,
                                         TimePoint Now) {
    ChunkSet NotPending = Offered;
    NotPending -= Fetches.chunks();
    std::optional<std::size_t> Best;
    std::size_t Ties = 0;
    NotPending.forEach([&](std::size_t C) {
      if (Best && View.holderCount(C) > View.holderCount(*Best))
        return;
      if (Best && View.holderCount(C) < View.holderCount(*Best))
        Ties = 0;
      if (Random() % ++Ties == 0)
        Best = C;
    });
    return Best ? Best : overdueChunk(Offered, Now);
  }

  /// @return a chunk to request a second time because its first request is
  /// slow. Only used once every other offered chunk is being fetched, and for a
  /// limited number of chunks.
  std::optional<std::size_t> overdueChunk(const ChunkSet &Offered,
                                          TimePoint Now) {
    if (Duplicates >=
        std::max<std::size_t>(1, ChunkIds.size() / ChunksPerDuplicateRequest))
      return std::nullopt;
    auto Overdue = [&](const FetchesInProgress::Item &Item) {
      bool Late = Now - Item.SentAt > Settings.RequestTimeout / 2;
      std::size_t Chunk = Item.Fetch.Chunk;
      return Late && Offered.contains(Chunk) && Fetches.countOf(Chunk) == 1;
    };
    std::optional<std::size_t> Chunk = Fetches.firstChunk(Overdue);
    Duplicates += Chunk.has_value();
    return Chunk;
  }

  const core::HostId Self;
  const core::Digest Version;
  const std::vector<core::Digest> ChunkIds;
  const PlannerSettings Settings;
  std::mt19937_64 Random;

  std::vector<EngineHost> Members;
  std::uint32_t Replicas = 0;
  Index SelfIndex = 0;
  ReaderRanks Ranks;
  OriginBudget Budget;

  ChunkSet HeldChunks;
  /// Chunks that this host or a peer in the view has held at any time.
  ChunkSet SeenChunks;
  FetchesInProgress Fetches;
  std::vector<ChunkState> ChunkStates;
  /// The peers of the failure domain whose holdings are tracked.
  PeerView View;
  /// The hosts of other regions whose holdings are tracked.
  PeerView RemoteView;
  /// Whether a newer version is to be served.
  bool Superseded = false;
  /// Missing chunks that this host reads for its failure domain, its region or
  /// the fleet.
  std::vector<std::size_t> ChunksToRead;

  /// Number of second requests since the planner was created.
  std::size_t Duplicates = 0;
  TimePoint StartedAt{};
  TimePoint MembersChangedAt{};
  /// When the current `StallTimeout` began: a chunk was seen for the first
  /// time, the members changed, or the origin was reported as unreachable.
  TimePoint StallTimerStart{};
  /// When a chunk was last seen for the first time, or the members changed.
  TimePoint LastSeenAt{};
  TimePoint NextExpiryCheck{};
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
