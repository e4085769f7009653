#include "FleetSimulation.h"

#include "EventLoop.h"
#include "swarm/SwarmPlanner.h"
#include "swarm/TokenBucket.h"
#include "swarm/UploadQueue.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <memory>
#include <random>

namespace rosemarylane::swarm::testing {

namespace {

using core::TimePoint;
using Duration = std::chrono::nanoseconds;

constexpr Duration CopyTime = std::chrono::seconds(10);
constexpr Duration IntraRegionLatency = std::chrono::microseconds(500);
constexpr Duration InterRegionLatency = std::chrono::milliseconds(1);
/// Minimum interval between two announcements of a host's holdings.
constexpr Duration HoldingsInterval = std::chrono::milliseconds(100);
constexpr std::uint64_t ChunkBytes = 1 << 20;
/// `UploadSettings::OverLimitInterval` in transfer times of a chunk.
constexpr int ChunksPerOverLimitInterval = 20;

core::Digest chunkId(std::size_t Index) {
  return core::Digest::of("chunk " + std::to_string(Index));
}

/// Runs one planner and upload queue per host over simulated links.
class Fleet {
public:
  explicit Fleet(const FleetSettings &Settings)
      : Settings(Settings), ChunkTime(CopyTime / Settings.Chunks),
        CopyBytes(static_cast<double>(ChunkBytes * Settings.Chunks)),
        Random(Settings.Seed), RegionFreeAt(Settings.Regions),
        RegionChunks(Settings.Regions) {
    for (std::size_t C = 0; C < Settings.Chunks; ++C) {
      Ids.push_back(chunkId(C));
      IndexOf[Ids.back()] = C;
    }
    makeHosts();
  }

  FleetResult run() {
    Start = Loop.now();
    for (std::size_t H = 0; H < Hosts.size(); ++H) {
      setMembers(H);
      tick(H);
    }
    subscribeAll();
    for (std::size_t H = 0; H < Hosts.size(); ++H)
      announceHoldings(H);
    scheduleFaults();
    while (IncompleteHosts > 0 && elapsed() < Settings.TimeLimit &&
           Loop.runOne())
      ;
    return result();
  }

private:
  struct Host {
    EngineHost Location;
    std::size_t Region = 0;
    std::unique_ptr<SwarmPlanner> Planner;
    std::unique_ptr<UploadQueue> Uploads;
    TokenBucket RegionLink{0, 0};
    std::vector<std::size_t> Subscribers;
    bool Alive = true;
    bool Silent = false;
    /// Whether the uplink is sending a chunk.
    bool Sending = false;
    bool AnnouncementPending = false;
    TimePoint AnnouncedAt{};
    TimePoint DownlinkFreeAt{};
    /// Numbers of chunks sent and received, duplicates included.
    std::size_t Sent = 0;
    std::size_t Received = 0;
    std::optional<TimePoint> CompletedAt;
  };

  static std::string hostName(std::size_t H) {
    return "host-" + std::to_string(H);
  }

  PlannerSettings plannerSettings() const {
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
      New.Planner = SwarmPlanner::create(New.Location.Host, Version, Ids,
                                         ChunkSet(Ids.size()),
                                         plannerSettings(), Random());
      UploadSettings Uploading;
      Uploading.OverLimitInterval = ChunksPerOverLimitInterval * ChunkTime;
      New.Uploads = std::make_unique<UploadQueue>(Uploading);
      IndexOfHost[New.Location.Host] = H;
    }
    IncompleteHosts = Hosts.size();
  }

  double elapsed() const { return inCopyTimes(Loop.now()); }
  double inCopyTimes(TimePoint T) const {
    return std::chrono::duration<double>(T - Start) /
           std::chrono::duration<double>(CopyTime);
  }

  // ---- Membership ----

  void setMembers(std::size_t H) {
    std::vector<EngineHost> Members;
    for (const Host &Other : Hosts)
      if (Other.Alive &&
          (!Settings.Partitioned ||
           Other.Location.FailureDomain == Hosts[H].Location.FailureDomain))
        Members.push_back(Other.Location);
    Hosts[H].Planner->setMembers(std::move(Members),
                                 static_cast<std::uint32_t>(Settings.Hosts),
                                 Loop.now());
  }

  void subscribeAll() {
    for (Host &H : Hosts)
      H.Subscribers.clear();
    for (std::size_t H = 0; H < Hosts.size(); ++H)
      if (Hosts[H].Alive)
        for (const core::HostId &Peer : Hosts[H].Planner->view())
          Hosts[IndexOfHost.at(Peer)].Subscribers.push_back(H);
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
    if (!Crashed.CompletedAt)
      --IncompleteHosts;
    // The other hosts detect the crash by missing heartbeats.
    Loop.after(CopyTime / 20, [this] {
      for (std::size_t I = 0; I < Hosts.size(); ++I)
        if (Hosts[I].Alive)
          setMembers(I);
      subscribeAll();
      for (std::size_t I = 0; I < Hosts.size(); ++I)
        if (Hosts[I].Alive)
          announceHoldings(I);
    });
  }

  // ---- Requests ----

  void tick(std::size_t H) {
    if (!Hosts[H].Alive || Hosts[H].CompletedAt)
      return;
    plan(H);
    Loop.after(ChunkTime, [this, H] { tick(H); });
  }

  void plan(std::size_t H) {
    if (!Hosts[H].Alive || Hosts[H].CompletedAt)
      return;
    Host &Self = Hosts[H];
    // As in agents, an ingress host paces its remote reads to its share of the
    // region's link.
    Self.RegionLink.setRate(
        static_cast<std::uint64_t>(
            Settings.RegionRate * Self.Planner->regionShare() * CopyBytes /
            std::chrono::duration<double>(CopyTime).count()),
        Loop.now());
    std::size_t Remote = Self.RegionLink.ready(Loop.now()) ? 1 : 0;
    for (const ChunkFetch &Fetch : Self.Planner->plan(Loop.now(), Remote))
      send(H, Fetch);
  }

  bool crossesRegion(std::size_t H, const ChunkFetch &Fetch) const {
    return Fetch.From == ChunkFetch::Source::Origin ||
           Hosts[IndexOfHost.at(Fetch.Host)].Region != Hosts[H].Region;
  }

  void send(std::size_t H, const ChunkFetch &Fetch) {
    if (crossesRegion(H, Fetch))
      Hosts[H].RegionLink.take(ChunkBytes, Loop.now());
    if (Fetch.From == ChunkFetch::Source::Origin) {
      readOrigin(H, Fetch.Chunk, Fetch.Id);
      return;
    }
    std::size_t Peer = IndexOfHost.at(Fetch.Host);
    if (Hosts[Peer].Silent)
      return;
    Loop.after(latency(H, Peer),
               [this, H, Peer, Fetch] { handleRequest(Peer, H, Fetch); });
  }

  void handleRequest(std::size_t H, std::size_t From, const ChunkFetch &Fetch) {
    Host &Self = Hosts[H];
    if (!Self.Alive)
      return;
    bool Reader = Fetch.From != ChunkFetch::Source::DomainPeer;
    bool Wait = Fetch.From == ChunkFetch::Source::RegionReader;
    bool Held = Self.Planner->held().contains(Fetch.Chunk);
    if (Reader && !Held)
      Self.Planner->markDemanded(Fetch.Chunk, Fetch.From);
    Upload Request{Hosts[From].Location.Host,
                   Version,
                   Ids[Fetch.Chunk],
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
      sendReply(H, From, Fetch.Id, FetchOutcome::Queued);
      return;
    case UploadAnswer::Busy:
      sendReply(H, From, Fetch.Id, FetchOutcome::Busy);
      return;
    case UploadAnswer::NotHeld:
      if (crossesRegion(From, Fetch))
        Hosts[From].RegionLink.refund(ChunkBytes, Loop.now());
      sendReply(H, From, Fetch.Id, FetchOutcome::NotHeld);
      return;
    }
  }

  void sendReply(std::size_t From, std::size_t To, std::uint64_t Id,
                 FetchOutcome Outcome) {
    Loop.after(latency(From, To), [this, To, Id, Outcome] {
      if (!Hosts[To].Alive)
        return;
      Hosts[To].Planner->reportOutcome(Id, Outcome, Loop.now());
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

  void readOrigin(std::size_t H, std::size_t Chunk, std::uint64_t Id) {
    ++OriginChunks;
    TimePoint Sent =
        transmit(OriginFreeAt, Loop.now(), chunkTimeAt(Settings.OriginRate));
    Loop.at(Sent + InterRegionLatency,
            [this, H, Chunk, Id] { arrive(H, Chunk, Id); });
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
    std::size_t Chunk = IndexOf.at(Next->Chunk);
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
            [this, To, Chunk, Id = Next->RequestId] { arrive(To, Chunk, Id); });
  }

  /// A chunk has reached the host's downlink, where it queues behind others.
  void arrive(std::size_t H, std::size_t Chunk, std::uint64_t Id) {
    Host &Self = Hosts[H];
    if (!Self.Alive)
      return;
    Self.DownlinkFreeAt = std::max(Loop.now(), Self.DownlinkFreeAt + ChunkTime);
    Loop.at(Self.DownlinkFreeAt,
            [this, H, Chunk, Id] { receive(H, Chunk, Id); });
  }

  void receive(std::size_t H, std::size_t Chunk, std::uint64_t Id) {
    Host &Self = Hosts[H];
    if (!Self.Alive)
      return;
    ++Self.Received;
    bool Held = Self.Planner->held().contains(Chunk);
    if (!Self.Planner->reportOutcome(Id, FetchOutcome::Stored, Loop.now()))
      Self.Planner->markStored(Chunk, Loop.now());
    if (!Held) {
      Self.Uploads->stored(Ids[Chunk]);
      pump(H);
      announceHoldings(H);
    }
    if (!Self.CompletedAt && Self.Planner->held().full()) {
      Self.CompletedAt = Loop.now();
      --IncompleteHosts;
    }
    plan(H);
  }

  // ---- Holdings ----

  void announceHoldings(std::size_t H) {
    Host &Self = Hosts[H];
    if (Self.AnnouncementPending)
      return;
    Self.AnnouncementPending = true;
    Loop.at(
        std::max(Loop.now(), Self.AnnouncedAt + HoldingsInterval), [this, H] {
          Host &Self = Hosts[H];
          Self.AnnouncementPending = false;
          Self.AnnouncedAt = Loop.now();
          if (!Self.Alive || Self.Silent)
            return;
          auto Held = std::make_shared<const ChunkSet>(Self.Planner->held());
          for (std::size_t Peer : Self.Subscribers)
            Loop.after(IntraRegionLatency, [this, H, Peer, Held] {
              if (!Hosts[Peer].Alive || Hosts[Peer].CompletedAt)
                return;
              Hosts[Peer].Planner->peerHolds(Hosts[H].Location.Host, *Held,
                                             Loop.now());
              plan(Peer);
            });
        });
  }

  FleetResult result() const {
    FleetResult R;
    std::vector<double> Times;
    std::size_t Received = 0;
    std::size_t Useful = 0;
    std::size_t LargestSent = 0;
    for (const Host &H : Hosts) {
      if (H.CompletedAt)
        Times.push_back(inCopyTimes(*H.CompletedAt));
      Received += H.Received;
      Useful += H.Planner->held().count();
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
  const Duration ChunkTime;
  const double CopyBytes;
  const core::Digest Version = core::Digest::of("version");
  std::mt19937_64 Random;
  EventLoop Loop;
  TimePoint Start;
  std::vector<core::Digest> Ids;
  std::unordered_map<core::Digest, std::size_t> IndexOf;
  std::unordered_map<core::HostId, std::size_t> IndexOfHost;
  std::deque<Host> Hosts;
  std::size_t IncompleteHosts = 0;
  std::size_t OriginChunks = 0;
  TimePoint OriginFreeAt{};
  std::vector<TimePoint> RegionFreeAt;
  std::vector<std::size_t> RegionChunks;
};

/// Every host reads a full copy over the origin's link, which serves the hosts
/// round-robin, chunk by chunk.
FleetResult simulateOriginOnly(const FleetSettings &Settings) {
  FleetResult R;
  R.OriginCopies = static_cast<double>(Settings.Hosts);
  R.Max = std::max(1.0, R.OriginCopies / Settings.OriginRate);
  R.P50 = R.P95 = R.Max;
  R.Complete = true;
  return R;
}

/// A binary tree over the whole fleet. Each host sends every chunk to two
/// children one after the other, so its uplink carries two copies.
FleetResult simulateFixedTree(const FleetSettings &Settings) {
  constexpr std::size_t Fanout = 2;
  std::size_t N = Settings.Hosts;
  double Chunk = 1.0 / static_cast<double>(Settings.Chunks);
  std::vector<std::vector<double>> ArrivalTime(
      N, std::vector<double>(Settings.Chunks, 0.0));
  std::vector<double> UplinkFreeAt(N, 0.0);
  for (std::size_t C = 0; C < Settings.Chunks; ++C) {
    ArrivalTime[0][C] =
        std::max(static_cast<double>(C + 1) * Chunk,
                 static_cast<double>(C + 1) * Chunk / Settings.OriginRate);
    for (std::size_t H = 0; H < N; ++H)
      for (std::size_t Child = Fanout * H + 1;
           Child <= Fanout * H + Fanout && Child < N; ++Child) {
        UplinkFreeAt[H] = std::max(UplinkFreeAt[H], ArrivalTime[H][C]) + Chunk;
        ArrivalTime[Child][C] = UplinkFreeAt[H];
      }
  }
  std::vector<double> Times;
  for (const auto &Chunks : ArrivalTime)
    Times.push_back(Chunks.back());
  std::sort(Times.begin(), Times.end());
  FleetResult R;
  R.P50 = Times[N / 2];
  R.P95 = Times[N * 95 / 100];
  R.Max = Times.back();
  R.OriginCopies = 1;
  R.LargestUpload = static_cast<double>(std::min(N - 1, Fanout));
  R.Complete = true;
  return R;
}

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

} // namespace rosemarylane::swarm::testing
