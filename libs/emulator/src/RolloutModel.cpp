#include "emulator/RolloutModel.h"

#include "BaselineModels.h"
#include "emulator/EventLoop.h"
#include "serving/VersionPlan.h"
#include "swarm/SwarmPlanner.h"
#include "swarm/TokenBucket.h"
#include "swarm/UploadQueue.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <memory>
#include <random>

namespace rosemarylane::emulator {

namespace {

using namespace rosemarylane::swarm;
using core::BootTime;
using core::TimePoint;
using Duration = std::chrono::nanoseconds;

constexpr Duration IntraRegionLatency = std::chrono::microseconds(500);
constexpr Duration InterRegionLatency = std::chrono::milliseconds(1);
/// Time after which a host gives up a connection to an origin that is down.
constexpr Duration OriginFailureDelay = std::chrono::milliseconds(120);
/// Time for which a host, asked as a reader, reports the origin as unreachable
/// after a failed read.
constexpr Duration OriginUnreachablePeriod = std::chrono::seconds(1);
/// A host learns of a version this long after it was named.
constexpr Duration NoticeDelay = std::chrono::milliseconds(100);
constexpr std::uint64_t ChunkBytes = 1 << 20;
/// `UploadSettings::OverLimitInterval` in transfer times of a chunk.
constexpr int ChunksPerOverLimitInterval = 20;

core::Digest chunkId(std::size_t Version, std::size_t Index) {
  return core::Digest::of("chunk " + std::to_string(Index) + " of version " +
                          std::to_string(Version));
}

core::Digest versionId(std::size_t Version) {
  return core::Digest::of("version " + std::to_string(Version));
}

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
        Random(Settings.Seed), RegionFreeAt(Settings.Regions),
        RegionChunks(Settings.Regions) {
    for (std::size_t V = 0; V < Settings.VersionsNamedAt.size(); ++V) {
      std::vector<core::Digest> &Ids = ChunkIds.emplace_back();
      for (std::size_t C = 0; C < Settings.Chunks; ++C) {
        Ids.push_back(chunkId(V, C));
        IndexOf[Ids.back()] = {V, C};
      }
    }
    makeHosts();
  }

  FleetResult run() {
    Start = Loop.now();
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
  /// What a host has of one version.
  struct Copy {
    std::unique_ptr<SwarmPlanner> Planner;
    /// The hosts that are told which chunks this one holds.
    std::vector<std::size_t> Subscribers;
    bool AnnouncementPending = false;
    TimePoint AnnouncedAt{};
    TimePoint LastChunkAt{};
    std::optional<TimePoint> CompletedAt;
  };

  struct Host {
    EngineHost Location;
    std::size_t Region = 0;
    /// By version; empty until the version is named.
    std::vector<Copy> Copies;
    std::unique_ptr<UploadQueue> Uploads;
    TokenBucket RegionLink{0, 0};
    bool Alive = true;
    bool Silent = false;
    /// Whether the uplink is sending a chunk.
    bool Sending = false;
    TimePoint DownlinkFreeAt{};
    /// When a host last failed to reach the origin, as far as this one knows;
    /// cleared by a read that succeeds.
    TimePoint OriginFailedAt{};
    /// Numbers of chunks sent and received, duplicates included.
    std::size_t Sent = 0;
    std::size_t Received = 0;
  };

  /// A chunk of a version.
  struct ChunkOf {
    std::size_t Version = 0;
    std::size_t Chunk = 0;
  };

  static std::string hostName(std::size_t H) {
    return "host-" + std::to_string(H);
  }

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

  void makeHosts() {
    std::size_t Silent = static_cast<std::size_t>(
        Settings.SilentFraction * static_cast<double>(Settings.Hosts));
    for (std::size_t H = 0; H < Settings.Hosts; ++H) {
      Host &New = Hosts.emplace_back();
      std::size_t Domain = H % Settings.FailureDomains;
      New.Region = Domain % Settings.Regions;
      New.Location = {
          core::HostId(hostName(H)),
          core::RegionId("region-" + std::to_string(New.Region)),
          core::FailureDomainId("domain-" + std::to_string(Domain))};
      New.Silent = H < Silent;
      UploadSettings Uploading;
      Uploading.MaxCopies = Settings.MaxUploadCopies;
      Uploading.OverLimitInterval = ChunksPerOverLimitInterval * ChunkTime;
      New.Uploads = std::make_unique<UploadQueue>(Uploading);
      IndexOfHost[New.Location.Host] = H;
    }
    IncompleteHosts = Hosts.size();
  }

  // ---- Versions ----

  std::size_t versionCount() const { return Settings.VersionsNamedAt.size(); }

  TimePoint namedAt(std::size_t Version) const {
    return Start + inTime(Settings.VersionsNamedAt[Version]);
  }

  Duration inTime(double CopyTimes) const {
    return Duration(static_cast<std::int64_t>(
        CopyTimes * static_cast<double>(CopyTime.count())));
  }

  /// All hosts learn of the version.
  void openVersion(std::size_t Version) {
    for (Host &H : Hosts) {
      Copy &New = H.Copies.emplace_back();
      New.Planner = SwarmPlanner::create(
          H.Location.Host, versionId(Version), ChunkIds[Version],
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
  std::vector<std::size_t> versionsToFetch(const Host &H) const {
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
            inTime(Settings.ActivationDelay));
    serving::VersionPlan Plan({ActivationDelay, CopyTime}, 1, std::move(Known));
    std::vector<std::size_t> Result;
    for (std::uint64_t Number : Plan.versionsToFetch(toBootTime(Loop.now())))
      Result.push_back(Number - 2);
    return Result;
  }

  double elapsed() const { return inCopyTimes(Loop.now()); }
  double inCopyTimes(TimePoint T) const {
    return std::chrono::duration<double>(T - Start) /
           std::chrono::duration<double>(CopyTime);
  }

  // ---- Membership ----

  void setMembers(std::size_t H, std::size_t Version) {
    std::vector<EngineHost> Members;
    for (const Host &Other : Hosts)
      if (Other.Alive &&
          (!Settings.Partitioned ||
           Other.Location.FailureDomain == Hosts[H].Location.FailureDomain))
        Members.push_back(Other.Location);
    Hosts[H].Copies[Version].Planner->setMembers(
        std::move(Members), static_cast<std::uint32_t>(Settings.Hosts),
        Loop.now());
  }

  void subscribeAll(std::size_t Version) {
    for (Host &H : Hosts)
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
    Host &Crashed = Hosts[H];
    Crashed.Alive = false;
    if (!holdsNewest(Crashed))
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

  bool holdsNewest(const Host &H) const {
    return H.Copies.size() == versionCount() &&
           H.Copies.back().CompletedAt.has_value();
  }

  // ---- Requests ----

  void tick(std::size_t H) {
    if (!Hosts[H].Alive || holdsNewest(Hosts[H]))
      return;
    plan(H);
    Loop.after(ChunkTime, [this, H] { tick(H); });
  }

  void plan(std::size_t H) {
    if (!Hosts[H].Alive || holdsNewest(Hosts[H]))
      return;
    std::vector<std::size_t> Wanted = versionsToFetch(Hosts[H]);
    for (std::size_t Version : Wanted) {
      Hosts[H].Copies[Version].Planner->setSuperseded(Version !=
                                                      Wanted.front());
      plan(H, Version);
    }
  }

  void plan(std::size_t H, std::size_t Version) {
    Host &Self = Hosts[H];
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
    Host &Self = Hosts[H];
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
                   ChunkIds[Version][Fetch.Chunk],
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
    return Hosts[A].Region == Hosts[B].Region ? IntraRegionLatency
                                              : InterRegionLatency;
  }

  static TimePoint transmit(TimePoint &FreeAt, TimePoint Ready,
                            Duration TransmitTime) {
    FreeAt = std::max(FreeAt, Ready) + TransmitTime;
    return FreeAt;
  }

  Duration chunkTimeAt(double Rate) const {
    return Duration(static_cast<std::int64_t>(
        static_cast<double>(ChunkTime.count()) / Rate));
  }

  TimePoint originDownAt() const {
    return Start + inTime(Settings.OriginDownAt);
  }
  TimePoint originBackAt() const {
    return originDownAt() + inTime(Settings.OriginDownFor);
  }

  void readOrigin(std::size_t H, ChunkOf Which, std::uint64_t Id) {
    TimePoint Now = Loop.now();
    if (Now >= originDownAt() && Now < originBackAt()) {
      failOriginRead(H, Which.Version, Id, Now + OriginFailureDelay);
      return;
    }
    TimePoint Sent =
        transmit(OriginFreeAt, Now, chunkTimeAt(Settings.OriginRate));
    if (Now < originDownAt() && Sent > originDownAt() &&
        Settings.OriginDownFor > 0) {
      OriginFreeAt = originBackAt();
      failOriginRead(H, Which.Version, Id, originDownAt());
      return;
    }
    ++OriginChunks;
    Loop.at(Sent + InterRegionLatency, [this, H, Which, Id] {
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
    Host &Self = Hosts[H];
    if (Self.Sending || !Self.Alive)
      return;
    auto Next = Self.Uploads->next();
    if (!Next)
      return;
    Self.Sending = true;
    ++Self.Sent;
    std::size_t To = IndexOfHost.at(Next->To);
    ChunkOf Which = IndexOf.at(Next->Chunk);
    TimePoint Sent = Loop.now() + ChunkTime;
    Loop.at(Sent, [this, H] {
      Hosts[H].Sending = false;
      pump(H);
    });
    TimePoint Arrives = Sent;
    if (Hosts[To].Region != Self.Region) {
      std::size_t Region = Hosts[To].Region;
      ++RegionChunks[Region];
      Arrives = std::max(Sent, transmit(RegionFreeAt[Region], Loop.now(),
                                        chunkTimeAt(Settings.RegionRate)));
    }
    Loop.at(Arrives + latency(H, To),
            [this, To, Which, Id = Next->RequestId] { arrive(To, Which, Id); });
  }

  /// A chunk has reached the host's downlink, where it queues behind others.
  void arrive(std::size_t H, ChunkOf Which, std::uint64_t Id) {
    Host &Self = Hosts[H];
    if (!Self.Alive)
      return;
    Self.DownlinkFreeAt = std::max(Loop.now(), Self.DownlinkFreeAt + ChunkTime);
    Loop.at(Self.DownlinkFreeAt,
            [this, H, Which, Id] { receive(H, Which, Id); });
  }

  void receive(std::size_t H, ChunkOf Which, std::uint64_t Id) {
    Host &Self = Hosts[H];
    if (!Self.Alive)
      return;
    ++Self.Received;
    Copy &Target = Self.Copies[Which.Version];
    bool Held = Target.Planner->held().contains(Which.Chunk);
    if (!Target.Planner->reportOutcome(Id, FetchOutcome::Stored, Loop.now()))
      Target.Planner->markStored(Which.Chunk, Loop.now());
    if (!Held) {
      Target.LastChunkAt = Loop.now();
      Self.Uploads->stored(ChunkIds[Which.Version][Which.Chunk]);
      pump(H);
      announceHoldings(H, Which.Version);
    }
    if (!Target.CompletedAt && Target.Planner->held().full()) {
      Target.CompletedAt = Loop.now();
      if (holdsNewest(Self) && Which.Version + 1 == versionCount())
        --IncompleteHosts;
    }
    plan(H);
  }

  // ---- Holdings ----

  void announceHoldings(std::size_t H, std::size_t Version) {
    Copy &Self = Hosts[H].Copies[Version];
    if (Self.AnnouncementPending)
      return;
    Self.AnnouncementPending = true;
    Loop.at(std::max(Loop.now(), Self.AnnouncedAt + Settings.HoldingsInterval),
            [this, H, Version] { sendHoldings(H, Version); });
  }

  void sendHoldings(std::size_t H, std::size_t Version) {
    Copy &Self = Hosts[H].Copies[Version];
    Self.AnnouncementPending = false;
    Self.AnnouncedAt = Loop.now();
    if (!Hosts[H].Alive || Hosts[H].Silent)
      return;
    auto Held = std::make_shared<const ChunkSet>(Self.Planner->held());
    for (std::size_t Peer : Self.Subscribers)
      Loop.after(IntraRegionLatency, [this, H, Peer, Version, Held] {
        Copy &Receiver = Hosts[Peer].Copies[Version];
        if (!Hosts[Peer].Alive || Receiver.CompletedAt)
          return;
        Receiver.Planner->peerHolds(Hosts[H].Location.Host, *Held, Loop.now());
        plan(Peer);
      });
  }

  FleetResult result() const {
    FleetResult R;
    std::vector<double> Times;
    std::size_t Received = 0;
    std::size_t Useful = 0;
    std::size_t LargestSent = 0;
    R.HolderFractions.resize(versionCount());
    for (const Host &H : Hosts) {
      for (std::size_t V = 0; V < H.Copies.size(); ++V) {
        Useful += H.Copies[V].Planner->held().count();
        if (H.Copies[V].CompletedAt)
          R.HolderFractions[V] += 1.0 / static_cast<double>(Hosts.size());
      }
      if (holdsNewest(H))
        Times.push_back(inCopyTimes(*H.Copies.back().CompletedAt) -
                        Settings.VersionsNamedAt.back());
      Received += H.Received;
      LargestSent = std::max(LargestSent, H.Sent);
    }
    auto Copies = [&](std::size_t Chunks) {
      return static_cast<double>(Chunks) / static_cast<double>(Settings.Chunks);
    };
    std::sort(Times.begin(), Times.end());
    R.Complete = IncompleteHosts == 0;
    if (!Times.empty()) {
      R.P50 = Times[Times.size() / 2];
      R.P95 = Times[Times.size() * 95 / 100];
      R.Max = Times.back();
    }
    R.OriginCopies = Copies(OriginChunks);
    R.LargestUpload = Copies(LargestSent);
    R.RegionCopies =
        Copies(*std::max_element(RegionChunks.begin(), RegionChunks.end()));
    R.DuplicateFraction =
        static_cast<double>(Received - Useful) / static_cast<double>(Received);
    return R;
  }

  const FleetSettings Settings;
  const Duration CopyTime;
  const Duration ChunkTime;
  const double CopyBytes;
  std::mt19937_64 Random;
  EventLoop Loop;
  TimePoint Start;
  /// By version and chunk.
  std::vector<std::vector<core::Digest>> ChunkIds;
  std::unordered_map<core::Digest, ChunkOf> IndexOf;
  std::unordered_map<core::HostId, std::size_t> IndexOfHost;
  std::deque<Host> Hosts;
  std::size_t IncompleteHosts = 0;
  std::size_t OriginChunks = 0;
  TimePoint OriginFreeAt{};
  std::vector<TimePoint> RegionFreeAt;
  std::vector<std::size_t> RegionChunks;
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

std::string toString(const FleetResult &R) {
  char Line[200];
  std::snprintf(
      Line, sizeof(Line),
      "copy times: p50 %.3f p95 %.3f max %.3f, copies: origin %.3f largest "
      "upload %.3f largest region %.3f, duplicate fraction %.4f, complete %d",
      R.P50, R.P95, R.Max, R.OriginCopies, R.LargestUpload, R.RegionCopies,
      R.DuplicateFraction, R.Complete);
  return Line;
}

} // namespace rosemarylane::emulator
