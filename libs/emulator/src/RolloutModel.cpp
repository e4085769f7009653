#include "emulator/RolloutModel.h"

#include "BaselineModels.h"
#include "CopyTimes.h"
#include "FleetHosts.h"
#include "FleetLinks.h"
#include "FleetSummary.h"
#include "emulator/EventLoop.h"
#include "serving/VersionPlan.h"
#include "swarm/SwarmPlanner.h"
#include "swarm/UploadQueue.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

namespace rosemarylane::emulator {

namespace {

using namespace rosemarylane::swarm;
using core::BootTime;
using core::TimePoint;
using Duration = std::chrono::nanoseconds;

/// Time that an announcement of holdings takes to any host.
constexpr Duration AnnouncementLatency = std::chrono::microseconds(500);
/// Time for which a host, asked as a reader, reports the origin as unreachable
/// after a failed read.
constexpr Duration OriginUnreachablePeriod = std::chrono::seconds(1);
/// A host learns of a version this long after it was named.
constexpr Duration NoticeDelay = std::chrono::milliseconds(100);
BootTime toBootTime(TimePoint T) {
  return BootTime(
      std::chrono::duration_cast<BootTime::duration>(T.time_since_epoch()));
}

/// Runs one planner and upload queue per host over simulated links.
class Fleet {
public:
  explicit Fleet(const FleetSettings &Settings)
      : Settings(Settings), CopyTime(Settings.CopyTime),
        ChunkTime(CopyTime / Settings.Chunks),
        CopyBytes(static_cast<double>(ChunkBytes * Settings.Chunks)),
        Random(Settings.Seed), Links(this->Settings, ChunkTime, Start),
        Index(Settings.VersionsNamedAt.size(), Settings.Chunks),
        Hosts(makeHosts(Settings, ChunkTime)), IncompleteHosts(Hosts.size()) {
    for (std::size_t H = 0; H < Hosts.size(); ++H)
      IndexOfHost[Hosts[H].Location.Host] = H;
  }

  FleetResult run() {
    for (std::size_t H = 0; H < Hosts.size(); ++H)
      tick(H);
    for (std::size_t V = 0; V < versionCount(); ++V) {
      Duration Notice = V == 0 ? Duration(0) : NoticeDelay;
      Loop.at(namedAt(V) + Notice, [this, V] { openVersion(V); });
    }
    scheduleFaults();
    while (IncompleteHosts > 0 && elapsed() < Settings.TimeLimit &&
           Loop.runOne())
      ;
    return result();
  }

private:
  PlannerSettings plannerSettings() const {
    if (Settings.Planning)
      return *Settings.Planning;
    PlannerSettings P;
    P.RequestTimeout = 20 * ChunkTime;
    P.RemoteTimeout = 200 * ChunkTime;
    P.StallTimeout = 50 * ChunkTime;
    P.BusyDelay = ChunkTime;
    P.PollDelay = 2 * ChunkTime;
    P.CopyTime = CopyTime;
    return P;
  }

  // ---- Versions ----

  std::size_t versionCount() const { return Settings.VersionsNamedAt.size(); }

  TimePoint namedAt(std::size_t Version) const {
    return Start + inTime(Settings, Settings.VersionsNamedAt[Version]);
  }

  /// All hosts learn of the version.
  void openVersion(std::size_t Version) {
    for (FleetHost &H : Hosts) {
      VersionCopy &New = H.Copies.emplace_back();
      New.Planner = SwarmPlanner::create(
          H.Location.Host, versionId(Version), Index.chunksOf(Version),
          ChunkSet(Settings.Chunks), plannerSettings(), Random());
    }
    for (std::size_t H = 0; H < Hosts.size(); ++H)
      setMembers(H, Version);
    subscribeAll(Version);
    for (std::size_t H = 0; H < Hosts.size(); ++H) {
      announceHoldings(H, Version);
      plan(H);
    }
  }

  /// @return the versions that the host fetches now, the newest first. Versions
  /// are numbered from 2 on; all hosts have version 1 loaded.
  std::vector<std::size_t> versionsToFetch(const FleetHost &H) const {
    std::vector<serving::KnownVersion> Known;
    for (std::size_t V = 0; V < H.Copies.size(); ++V) {
      serving::KnownVersion &New = Known.emplace_back();
      New.Number = V + 2;
      New.NamedAt = toBootTime(namedAt(V));
      New.LearntAt = *New.NamedAt;
      New.Held = H.Copies[V].Planner->held().count();
      New.Chunks = Settings.Chunks;
      New.LastChunkAt = toBootTime(H.Copies[V].LastChunkAt);
    }
    auto ActivationDelay =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            inTime(Settings, Settings.ActivationDelay));
    serving::VersionPlan Plan({ActivationDelay, CopyTime}, 1, std::move(Known));
    std::vector<std::size_t> Result;
    for (std::uint64_t Number : Plan.versionsToFetch(toBootTime(Loop.now())))
      Result.push_back(Number - 2);
    return Result;
  }

  double elapsed() const { return inCopyTimes(Loop.now(), Settings, Start); }

  // ---- Membership ----

  void setMembers(std::size_t H, std::size_t Version) {
    std::vector<EngineHost> Members;
    for (const FleetHost &Other : Hosts)
      if (Other.Alive &&
          (!Settings.Partitioned ||
           Other.Location.FailureDomain == Hosts[H].Location.FailureDomain))
        Members.push_back(Other.Location);
    Hosts[H].Copies[Version].Planner->setMembers(
        std::move(Members), static_cast<std::uint32_t>(Settings.Hosts),
        Loop.now());
  }

  void subscribeAll(std::size_t Version) {
    for (FleetHost &H : Hosts)
      H.Copies[Version].Subscribers.clear();
    for (std::size_t H = 0; H < Hosts.size(); ++H) {
      if (!Hosts[H].Alive)
        continue;
      const SwarmPlanner &Planner = *Hosts[H].Copies[Version].Planner;
      for (const auto *View : {&Planner.view(), &Planner.remoteView()})
        for (const core::HostId &Peer : *View)
          Hosts[IndexOfHost.at(Peer)].Copies[Version].Subscribers.push_back(H);
    }
  }

  void scheduleFaults() {
    auto Crashing = static_cast<std::size_t>(Settings.CrashingFraction *
                                             static_cast<double>(Hosts.size()));
    for (std::size_t I = 0; I < Crashing; ++I) {
      // Spread evenly over the failure domains and over one copy time.
      std::size_t H = I * Hosts.size() / Crashing;
      Loop.after(CopyTime * (I + 1) / (Crashing + 1), [this, H] { crash(H); });
    }
  }

  void crash(std::size_t H) {
    FleetHost &Crashed = Hosts[H];
    Crashed.Alive = false;
    if (!Crashed.holdsNewest(versionCount()))
      --IncompleteHosts;
    // The other hosts detect the crash by missing heartbeats.
    Loop.after(CopyTime / 20, [this] {
      for (std::size_t V = 0; V < Hosts.front().Copies.size(); ++V)
        replaceMembers(V);
    });
  }

  void replaceMembers(std::size_t Version) {
    for (std::size_t I = 0; I < Hosts.size(); ++I)
      if (Hosts[I].Alive)
        setMembers(I, Version);
    subscribeAll(Version);
    for (std::size_t I = 0; I < Hosts.size(); ++I)
      if (Hosts[I].Alive)
        announceHoldings(I, Version);
  }

  // ---- Requests ----

  void tick(std::size_t H) {
    if (!Hosts[H].Alive || Hosts[H].holdsNewest(versionCount()))
      return;
    plan(H);
    Loop.after(ChunkTime, [this, H] { tick(H); });
  }

  void plan(std::size_t H) {
    if (!Hosts[H].Alive || Hosts[H].holdsNewest(versionCount()))
      return;
    std::vector<std::size_t> Wanted = versionsToFetch(Hosts[H]);
    for (std::size_t Version : Wanted) {
      Hosts[H].Copies[Version].Planner->setSuperseded(Version !=
                                                      Wanted.front());
      plan(H, Version);
    }
  }

  void plan(std::size_t H, std::size_t Version) {
    FleetHost &Self = Hosts[H];
    SwarmPlanner &Planner = *Self.Copies[Version].Planner;
    // As in agents, an ingress host paces its remote reads to its share of the
    // region's link.
    Self.RegionLink.setRate(
        static_cast<std::uint64_t>(
            Settings.RegionRate * Planner.regionShare() * CopyBytes /
            std::chrono::duration<double>(CopyTime).count()),
        Loop.now());
    std::size_t Remote = Self.RegionLink.ready(Loop.now()) ? 1 : 0;
    for (const ChunkFetch &Fetch : Planner.plan(Loop.now(), Remote))
      send(H, Version, Fetch);
  }

  bool crossesRegion(std::size_t H, const ChunkFetch &Fetch) const {
    return Fetch.From == ChunkFetch::Source::Origin ||
           Hosts[IndexOfHost.at(Fetch.Host)].Region != Hosts[H].Region;
  }

  void send(std::size_t H, std::size_t Version, const ChunkFetch &Fetch) {
    if (crossesRegion(H, Fetch))
      Hosts[H].RegionLink.take(ChunkBytes, Loop.now());
    if (Fetch.From == ChunkFetch::Source::Origin) {
      readOrigin(H, {Version, Fetch.Chunk}, Fetch.Id);
      return;
    }
    std::size_t Peer = IndexOfHost.at(Fetch.Host);
    if (Hosts[Peer].Silent)
      return;
    Loop.after(latency(H, Peer), [this, H, Peer, Version, Fetch] {
      handleRequest(Peer, H, Version, Fetch);
    });
  }

  void handleRequest(std::size_t H, std::size_t From, std::size_t Version,
                     const ChunkFetch &Fetch) {
    FleetHost &Self = Hosts[H];
    if (!Self.Alive)
      return;
    SwarmPlanner &Planner = *Self.Copies[Version].Planner;
    bool Reader = Fetch.From != ChunkFetch::Source::DomainPeer;
    bool Wait = Fetch.From == ChunkFetch::Source::RegionReader;
    bool Held = Planner.held().contains(Fetch.Chunk);
    if (Reader && !Held) {
      Planner.markDemanded(Fetch.Chunk, Fetch.From);
      if (Loop.now() - Self.OriginFailedAt < OriginUnreachablePeriod) {
        if (crossesRegion(From, Fetch))
          Hosts[From].RegionLink.refund(ChunkBytes, Loop.now());
        reportOriginUnreachable(H, From, Version, Fetch.Id);
        return;
      }
    }
    Upload Request{Hosts[From].Location.Host,
                   versionId(Version),
                   Index.chunksOf(Version)[Fetch.Chunk],
                   Fetch.Id,
                   ChunkBytes,
                   core::TrafficClass{},
                   Reader};
    switch (Self.Uploads->offer(Request, Held, Wait,
                                ChunkBytes * Settings.Chunks, Loop.now())) {
    case UploadAnswer::Accepted:
      pump(H);
      return;
    case UploadAnswer::Queued:
      pump(H);
      sendReply(H, From, Version, Fetch.Id, FetchOutcome::Queued);
      return;
    case UploadAnswer::Busy:
      sendReply(H, From, Version, Fetch.Id, FetchOutcome::Busy);
      return;
    case UploadAnswer::NotHeld:
      if (crossesRegion(From, Fetch))
        Hosts[From].RegionLink.refund(ChunkBytes, Loop.now());
      sendReply(H, From, Version, Fetch.Id, FetchOutcome::NotHeld);
      return;
    }
  }

  void reportOriginUnreachable(std::size_t From, std::size_t To,
                               std::size_t Version, std::uint64_t Id) {
    TimePoint FailedAt = Hosts[From].OriginFailedAt;
    Loop.after(latency(From, To), [this, To, Version, Id, FailedAt] {
      if (Hosts[To].Alive)
        endUnreachable(To, Version, Id, FailedAt);
    });
  }

  /// Ends a read of a chunk that cannot arrive while the origin is away.
  void endUnreachable(std::size_t H, std::size_t Version, std::uint64_t Id,
                      TimePoint FailedAt) {
    Hosts[H].OriginFailedAt = std::max(Hosts[H].OriginFailedAt, FailedAt);
    SwarmPlanner &Planner = *Hosts[H].Copies[Version].Planner;
    Planner.markOriginUnreachable(FailedAt);
    Planner.reportOutcome(Id, FetchOutcome::NotHeld, Loop.now());
  }

  void sendReply(std::size_t From, std::size_t To, std::size_t Version,
                 std::uint64_t Id, FetchOutcome Outcome) {
    Loop.after(latency(From, To), [this, To, Version, Id, Outcome] {
      if (!Hosts[To].Alive)
        return;
      Hosts[To].Copies[Version].Planner->reportOutcome(Id, Outcome, Loop.now());
      plan(To);
    });
  }

  // ---- Links ----

  Duration latency(std::size_t A, std::size_t B) const {
    return FleetLinks::latency(Hosts[A].Region, Hosts[B].Region);
  }

  void readOrigin(std::size_t H, ChunkOf Which, std::uint64_t Id) {
    FleetLinks::OriginRead Read = Links.readOrigin(Loop.now());
    if (!Read.Succeeds) {
      failOriginRead(H, Which.Version, Id, Read.EndsAt);
      return;
    }
    Loop.at(Read.EndsAt, [this, H, Which, Id] {
      Hosts[H].OriginFailedAt = TimePoint();
      arrive(H, Which, Id);
    });
  }

  void failOriginRead(std::size_t H, std::size_t Version, std::uint64_t Id,
                      TimePoint At) {
    Loop.at(At, [this, H, Version, Id] {
      Hosts[H].RegionLink.refund(ChunkBytes, Loop.now());
      endUnreachable(H, Version, Id, Loop.now());
    });
  }

  void pump(std::size_t H) {
    FleetHost &Self = Hosts[H];
    if (Self.Sending || !Self.Alive)
      return;
    auto Next = Self.Uploads->next();
    if (!Next)
      return;
    Self.Sending = true;
    ++Self.Sent;
    std::size_t To = IndexOfHost.at(Next->To);
    ChunkOf Which = Index.find(Next->Chunk);
    TimePoint Sent = Loop.now() + ChunkTime;
    Loop.at(Sent, [this, H] {
      Hosts[H].Sending = false;
      pump(H);
    });
    TimePoint Arrives = Sent;
    if (Hosts[To].Region != Self.Region)
      Arrives =
          std::max(Sent, Links.sendIntoRegion(Hosts[To].Region, Loop.now()));
    Loop.at(Arrives + latency(H, To),
            [this, To, Which, Id = Next->RequestId] { arrive(To, Which, Id); });
  }

  /// A chunk has reached the host's downlink, where it queues behind others.
  void arrive(std::size_t H, ChunkOf Which, std::uint64_t Id) {
    FleetHost &Self = Hosts[H];
    if (!Self.Alive)
      return;
    Self.DownlinkFreeAt = std::max(Loop.now(), Self.DownlinkFreeAt + ChunkTime);
    Loop.at(Self.DownlinkFreeAt,
            [this, H, Which, Id] { receive(H, Which, Id); });
  }

  void receive(std::size_t H, ChunkOf Which, std::uint64_t Id) {
    FleetHost &Self = Hosts[H];
    if (!Self.Alive)
      return;
    ++Self.Received;
    VersionCopy &Target = Self.Copies[Which.Version];
    bool Held = Target.Planner->held().contains(Which.Chunk);
    if (!Target.Planner->reportOutcome(Id, FetchOutcome::Stored, Loop.now()))
      Target.Planner->markStored(Which.Chunk, Loop.now());
    if (!Held) {
      Target.LastChunkAt = Loop.now();
      Self.Uploads->stored(Index.chunksOf(Which.Version)[Which.Chunk]);
      pump(H);
      announceHoldings(H, Which.Version);
    }
    if (!Target.CompletedAt && Target.Planner->held().full()) {
      Target.CompletedAt = Loop.now();
      if (Self.holdsNewest(versionCount()) &&
          Which.Version + 1 == versionCount())
        --IncompleteHosts;
    }
    plan(H);
  }

  // ---- Holdings ----

  void announceHoldings(std::size_t H, std::size_t Version) {
    VersionCopy &Self = Hosts[H].Copies[Version];
    if (Self.AnnouncementPending)
      return;
    Self.AnnouncementPending = true;
    Loop.at(std::max(Loop.now(), Self.AnnouncedAt + Settings.HoldingsInterval),
            [this, H, Version] { sendHoldings(H, Version); });
  }

  void sendHoldings(std::size_t H, std::size_t Version) {
    VersionCopy &Self = Hosts[H].Copies[Version];
    Self.AnnouncementPending = false;
    Self.AnnouncedAt = Loop.now();
    if (!Hosts[H].Alive || Hosts[H].Silent)
      return;
    auto Held = std::make_shared<const ChunkSet>(Self.Planner->held());
    for (std::size_t Peer : Self.Subscribers)
      Loop.after(AnnouncementLatency, [this, H, Peer, Version, Held] {
        VersionCopy &Receiver = Hosts[Peer].Copies[Version];
        if (!Hosts[Peer].Alive || Receiver.CompletedAt)
          return;
        Receiver.Planner->peerHolds(Hosts[H].Location.Host, *Held, Loop.now());
        plan(Peer);
      });
  }

  FleetResult result() const {
    FleetResult R = summarize(Hosts, Settings, Start);
    R.Complete = IncompleteHosts == 0;
    R.OriginCopies = inCopies(Links.originChunks(), Settings);
    R.RegionCopies = inCopies(Links.maxRegionChunks(), Settings);
    return R;
  }

  const FleetSettings Settings;
  const Duration CopyTime;
  const Duration ChunkTime;
  const double CopyBytes;
  std::mt19937_64 Random;
  EventLoop Loop;
  const TimePoint Start = Loop.now();
  FleetLinks Links;
  const ChunkIndex Index;
  std::unordered_map<core::HostId, std::size_t> IndexOfHost;
  std::deque<FleetHost> Hosts;
  std::size_t IncompleteHosts;
};

} // namespace

FleetResult simulate(const FleetSettings &Settings) {
  switch (Settings.PlannerKind) {
  case FleetSettings::Planner::OriginOnly:
    return simulateOriginOnly(Settings);
  case FleetSettings::Planner::FixedTree:
    return simulateFixedTree(Settings);
  case FleetSettings::Planner::Swarm:
    break;
  }
  return Fleet(Settings).run();
}

} // namespace rosemarylane::emulator
