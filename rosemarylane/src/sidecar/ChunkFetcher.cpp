#include "sidecar/ChunkFetcher.h"

#include "sidecar/PeerPaths.h"
#include "swarm/SlowLink.h"
#include "swarm/SwarmPlanner.h"
#include "swarm/TokenBucket.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

namespace rosemarylane {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using Steady = std::chrono::steady_clock;
using swarm::ChunkFetch;
using swarm::FetchOutcome;

namespace {

constexpr milliseconds PlanPeriod{30};
constexpr milliseconds AnnouncePeriod{90};
/// Time limit of one request for a chunk, to a peer or to the origin.
constexpr milliseconds ChunkTimeout{1500};
/// Limit of concurrent fetches from hosts of the failure domain; their start is
/// also paced by the bandwidth for incoming chunks.
constexpr std::size_t MaxDomainFetches = 4;
/// Limit of concurrent fetches from the origin and from hosts of other regions.
constexpr std::size_t MaxRemoteFetches = 10;
/// A transfer from a host of the failure domain that takes longer indicates a
/// slow link.
constexpr milliseconds SlowTransferTime{700};
/// Limit of concurrent fetches from the origin by one host: the origin accepts
/// only few connections from the whole fleet. Each of them holds a slot; see
/// `acquireOriginSlot`.
constexpr std::size_t MaxOriginFetches = 2;
constexpr milliseconds OriginSlotPollPeriod{10};
/// Longest wait for a free slot; the fetch then ends as `Busy`, and the planner
/// plans the chunk again.
constexpr milliseconds OriginSlotTimeout{400};
/// Time for which a fetch from the origin that got no response keeps its slot
/// before its failure is reported to the planner.
constexpr milliseconds OriginFailureDelay{120};
/// Time for which the origin counts as unreachable after a fetch from it got no
/// response, or a reader reported it as unreachable.
constexpr milliseconds OriginUnreachablePeriod{1000};
constexpr milliseconds BandwidthPollPeriod{4};
constexpr milliseconds LogPeriod{500};
/// Chunk size, in bytes, that pacing and the planner's copy time are based on.
/// The size that the configuration states is not used here.
constexpr std::size_t AssumedChunkBytes = 24 << 10;

swarm::PlannerSettings plannerSettings(std::uint64_t Rate, std::size_t Chunks,
                                       std::size_t ChunkBytes) {
  swarm::PlannerSettings Result;
  Result.MaxPulls = MaxDomainFetches;
  Result.MaxRemoteReads = MaxRemoteFetches;
  Result.RequestTimeout = ChunkTimeout;
  Result.RemoteTimeout = ChunkTimeout;
  // A reader is replaced by the host of next rank after this time without a new
  // chunk.
  Result.StallTimeout = milliseconds(700);
  // Delay before a busy peer is asked again.
  Result.BusyDelay = milliseconds(40);
  // Delay before a reader that did not hold a chunk is asked again.
  Result.PollDelay = milliseconds(60);
  // Wait for the peers' holdings before the origin is read.
  Result.DiscoveryTime = milliseconds(30);
  // While some members are not visible, the origin is read only once the
  // members have not changed for this time.
  Result.SettleTime = milliseconds(30);
  // Time that one copy of the version takes over the host's link.
  double Bytes = static_cast<double>(Chunks * ChunkBytes);
  double PerSecond = static_cast<double>(std::max<std::uint64_t>(Rate, 1));
  Result.CopyTime = std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(Bytes / PerSecond));
  return Result;
}

} // namespace

struct ChunkFetcher::State : std::enable_shared_from_this<ChunkFetcher::State> {
  State(asio::io_context &Loop, const NodeSettings &Settings, HttpClient &Calls,
        PeerSocket &Link, std::string OriginAddress,
        std::shared_ptr<VersionChunks> Chunks, std::uint64_t Rate)
      : Loop(Loop), Settings(Settings), Calls(Calls), Link(Link),
        OriginAddress(std::move(OriginAddress)), Chunks(std::move(Chunks)),
        Timer(Loop), InboundBandwidth(Rate, AssumedChunkBytes / 2) {
    const platform::OriginManifest &Manifest = this->Chunks->manifest();
    core::Digest Version = core::Digest::of(Manifest.Model + "/" +
                                            std::to_string(Manifest.Version));
    Planner = swarm::SwarmPlanner::create(
        core::HostId(Settings.Ip), Version, Manifest.Chunks,
        this->Chunks->held(),
        plannerSettings(Rate, Manifest.Chunks.size(), AssumedChunkBytes),
        std::random_device{}());
  }

  void tick() {
    if (Chunks->held().full()) {
      announceHoldings(false);
      return;
    }
    plan();
    if (Steady::now() - LastAnnouncedAt >= AnnouncePeriod)
      announceHoldings(true);
    if (Steady::now() - LastLoggedAt >= LogPeriod)
      logProgress();
    Timer.expires_after(PlanPeriod);
    Timer.async_wait([Weak = weak_from_this()](auto ErrorCode) {
      auto Self = Weak.lock();
      if (Self && !ErrorCode)
        Self->tick();
    });
  }

  void plan() {
    // The throttle only waits while chunk transfers over this host's link are
    // slow.
    if (!HasMembers || LinkThrottle.shouldWait(FetchesInFlight, Steady::now()))
      return;
    // The planner's own limit of remote fetches applies; no further pacing.
    for (ChunkFetch &Fetch : Planner->plan(Steady::now(), MaxRemoteFetches))
      asio::co_spawn(
          Loop,
          [Self = shared_from_this(), Fetch = std::move(Fetch)]()
              -> asio::awaitable<void> { co_await Self->fetch(Fetch); },
          asio::detached);
  }

  asio::awaitable<void> fetch(const ChunkFetch &Fetch) {
    const platform::OriginManifest &Manifest = Chunks->manifest();
    HttpClient::Call Call;
    Call.Timeout = ChunkTimeout; // A duration.
    Call.MaxBodyBytes = MaxChunkBytes;
    std::string Address = OriginAddress;
    if (Fetch.From == ChunkFetch::Source::Origin) {
      Call.Request =
          platform::chunkRequest(Manifest.Model, Manifest.Version, Fetch.Chunk);
    } else {
      const char *Role = Fetch.From == ChunkFetch::Source::DomainPeer ? "held"
                         : Fetch.From == ChunkFetch::Source::RegionReader
                             ? "region"
                             : "fleet";
      Call.Request.Method = "GET";
      Call.Request.Target =
          chunkPath(Manifest.Model, Manifest.Version, Fetch.Chunk, Role);
      Address = Fetch.Host.str() + ":" + std::to_string(Settings.PeerPort);
    }
    bool IsOrigin = Fetch.From == ChunkFetch::Source::Origin;
    bool HasSlot = true;
    if (IsOrigin)
      HasSlot = co_await acquireOriginSlot(Fetch.Chunk);
    if (!HasSlot) {
      Planner->reportOutcome(Fetch.Id,
                             Chunks->has(Fetch.Chunk) ? FetchOutcome::Stored
                                                      : FetchOutcome::Busy,
                             Steady::now());
      co_return;
    }
    // The whole fleet depends on chunks from the origin, so they and the chunks
    // of designated readers do not wait for bandwidth; they only count against
    // it.
    if (Fetch.From == ChunkFetch::Source::DomainPeer)
      co_await awaitBandwidth();
    else
      InboundBandwidth.take(AssumedChunkBytes, Steady::now());
    if (Fetch.From == ChunkFetch::Source::DomainPeer)
      Call.OnBodyEnd =
          [Self = shared_from_this()](const HttpClient::BodyTransfer &Body) {
            Self->LinkThrottle.recordTransfer(Body.Time, Steady::now());
          };
    ++FetchesInFlight;
    auto Response = co_await Calls.exchange(Address, std::move(Call));
    --FetchesInFlight;
    if (IsOrigin && !Response) {
      asio::steady_timer Pause(Loop, OriginFailureDelay);
      co_await Pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (IsOrigin)
      --OriginFetches;
    FetchOutcome Outcome = FetchOutcome::Failed;
    bool Stored = false;
    if (Response && Response->Head.Status == 200) {
      Stored = Chunks->has(Fetch.Chunk) ||
               Chunks->store(Fetch.Chunk, std::move(Response->Body));
      if (Stored)
        Outcome = FetchOutcome::Stored;
      else
        logDigestMismatch(Fetch, Address);
    } else if (Response && Response->Head.Status == 404) {
      Outcome = FetchOutcome::NotHeld;
    } else if (Response && Response->Head.Status == OriginUnreachableStatus) {
      recordOriginUnreachable();
      Outcome = FetchOutcome::NotHeld;
    } else if (IsOrigin && !Response) {
      recordOriginUnreachable();
      Outcome = FetchOutcome::NotHeld;
    } else if (Response && Response->Head.Status == 503) {
      Outcome = FetchOutcome::Busy;
    }
    Steady::time_point Now = Steady::now();
    bool InTime = Planner->reportOutcome(Fetch.Id, Outcome, Now);
    if (Stored && !InTime)
      Planner->markStored(Fetch.Chunk, Now);
    if (Stored && Fetch.From == ChunkFetch::Source::Origin)
      ++FromOrigin;
    plan();
    if (Chunks->held().full())
      announceCompletion();
  }

  asio::awaitable<void> awaitBandwidth() {
    asio::steady_timer Pause(Loop);
    while (!InboundBandwidth.ready(Steady::now())) {
      Pause.expires_after(BandwidthPollPeriod);
      co_await Pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    InboundBandwidth.take(AssumedChunkBytes, Steady::now());
  }

  /// Waits until one more read from the origin may start.
  /// @return false if the chunk was received from elsewhere meanwhile, or the
  /// wait timed out.
  asio::awaitable<bool> acquireOriginSlot(std::size_t Chunk) {
    asio::steady_timer Pause(Loop);
    Steady::time_point GiveUpAt = Steady::now() + OriginSlotTimeout;
    while (OriginFetches >= MaxOriginFetches) {
      if (Chunks->has(Chunk) || Steady::now() >= GiveUpAt)
        co_return false;
      Pause.expires_after(OriginSlotPollPeriod);
      co_await Pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    ++OriginFetches;
    co_return true;
  }

  /// Tells the planner, so that no other host takes over from the readers while
  /// no chunk can arrive.
  void recordOriginUnreachable() {
    OriginUnreachableAt = Steady::now();
    Planner->markOriginUnreachable(OriginUnreachableAt);
  }

  void logDigestMismatch(const ChunkFetch &Fetch, const std::string &Address) {
    telemetry::log(telemetry::Level::Warning, "chunk has a wrong digest",
                   {{"version", std::int64_t(Chunks->manifest().Version)},
                    {"chunk", std::int64_t(Fetch.Chunk)},
                    {"source", Address}});
  }

  /// Announces the holdings to the peers and logs that all chunks are held. Has
  /// no effect after the first call.
  void announceCompletion() {
    if (std::exchange(IsComplete, true))
      return;
    announceHoldings(false);
    telemetry::log(
        telemetry::Level::Info, "version is whole",
        {{"model", Chunks->manifest().Model},
         {"version", std::int64_t(Chunks->manifest().Version)},
         {"from_origin", std::int64_t(FromOrigin)},
         {"ms", std::int64_t(std::chrono::duration_cast<milliseconds>(
                                 Steady::now() - StartedAt)
                                 .count())}});
  }

  void logProgress() {
    LastLoggedAt = Steady::now();
    telemetry::log(telemetry::Level::Info, "version incomplete",
                   {{"version", std::int64_t(Chunks->manifest().Version)},
                    {"held", std::int64_t(Chunks->held().count())},
                    {"from_origin", std::int64_t(FromOrigin)},
                    {"under_way", std::int64_t(FetchesInFlight)},
                    {"members", std::int64_t(Members.size())}});
  }

  /// Sends the set of held chunks to the peers whose holdings the planner
  /// tracks.
  /// @param RequestReply whether the peers are to reply with theirs.
  void announceHoldings(bool RequestReply) {
    LastAnnouncedAt = Steady::now();
    wire::NodeMessage Message;
    wire::Holdings *Own = Message.mutable_holdings();
    Own->set_model(Chunks->manifest().Model);
    Own->set_version(Chunks->manifest().Version);
    Own->set_chunks(Chunks->held().bytes());
    Own->set_tell(RequestReply);
    for (const core::HostId &Peer : Planner->view())
      Link.send(Peer.str(), Message);
  }

  asio::io_context &Loop;
  const NodeSettings &Settings;
  HttpClient &Calls;
  /// Message channel to the peers.
  PeerSocket &Link;
  std::string OriginAddress;
  std::shared_ptr<VersionChunks> Chunks;
  asio::steady_timer Timer;
  swarm::TokenBucket InboundBandwidth;
  std::unique_ptr<swarm::SwarmPlanner> Planner;
  std::vector<swarm::EngineHost> Members;
  bool HasMembers = false;
  bool IsComplete = false;
  std::size_t FromOrigin = 0;
  std::size_t OriginFetches = 0;
  std::size_t FetchesInFlight = 0;
  /// Limits the fetches while the link of this host is slower than configured.
  swarm::SlowLink LinkThrottle{SlowTransferTime};
  Steady::time_point OriginUnreachableAt{};
  Steady::time_point LastAnnouncedAt{};
  Steady::time_point LastLoggedAt{};
  Steady::time_point StartedAt = Steady::now();
};

std::unique_ptr<ChunkFetcher>
ChunkFetcher::start(asio::io_context &Loop, const NodeSettings &Settings,
                    HttpClient &Calls, PeerSocket &Link,
                    std::string OriginAddress,
                    std::shared_ptr<VersionChunks> Chunks, std::uint64_t Rate) {
  auto S = std::make_shared<State>(Loop, Settings, Calls, Link,
                                   std::move(OriginAddress), std::move(Chunks),
                                   Rate);
  S->tick();
  return std::unique_ptr<ChunkFetcher>(new ChunkFetcher(std::move(S)));
}

ChunkFetcher::ChunkFetcher(std::shared_ptr<State> S) : S(std::move(S)) {}

ChunkFetcher::~ChunkFetcher() { S->Timer.cancel(); }

void ChunkFetcher::setRate(std::uint64_t BytesPerSecond) {
  S->InboundBandwidth.setRate(BytesPerSecond, Steady::now());
}

void ChunkFetcher::setMembers(const std::vector<swarm::EngineHost> &Members) {
  if (S->HasMembers && S->Members == Members)
    return;
  // A host whose target is currently not registered is not in the list; it
  // keeps the previous members.
  bool IsMember = std::any_of(Members.begin(), Members.end(),
                              [&](const swarm::EngineHost &H) {
                                return H.Host.str() == S->Settings.Ip;
                              });
  if (!IsMember)
    return;
  S->Members = Members;
  S->HasMembers = true;
  S->Planner->setMembers(Members, static_cast<std::uint32_t>(Members.size()),
                         Steady::now());
}

void ChunkFetcher::recordPeerHoldings(const std::string &Ip,
                                      const wire::Holdings &Report) {
  auto Held = swarm::ChunkSet::fromBytes(S->Chunks->size(), Report.chunks());
  if (Held && S->HasMembers)
    S->Planner->peerHolds(core::HostId(Ip), std::move(*Held), Steady::now());
}

bool ChunkFetcher::isOriginUnreachable() const {
  return Steady::now() - S->OriginUnreachableAt < OriginUnreachablePeriod;
}

void ChunkFetcher::recordDemand(std::size_t Chunk, bool AsFleetReader) {
  if (S->HasMembers)
    S->Planner->markDemanded(Chunk, AsFleetReader
                                        ? ChunkFetch::Source::FleetReader
                                        : ChunkFetch::Source::RegionReader);
}

} // namespace rosemarylane
