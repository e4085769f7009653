#include "sidecar/ChunkFetcher.h"

#include "sidecar/PeerPaths.h"
#include "swarm/SlowLink.h"
#include "swarm/SwarmPlanner.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <optional>
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
/// Holdings are announced to other regions only with every nth announcement, to
/// save their links.
constexpr std::size_t AnnouncementsPerRemoteOne = 4;
/// A transfer from a host of the failure domain that takes longer indicates a
/// slow link.
constexpr milliseconds SlowTransferTime{700};
/// Pause before the failure of a fetch from the origin is reported to the
/// planner, which then plans the next one.
constexpr milliseconds OriginFailureDelay{120};
/// Time for which the origin counts as unreachable after a fetch from it got no
/// response.
constexpr milliseconds OriginUnreachablePeriod{1000};
constexpr milliseconds BandwidthPollPeriod{4};
constexpr milliseconds LogPeriod{500};

/// @return the age of the failure that a peer reports together with
/// `OriginUnreachableStatus`.
milliseconds reportedFailureAge(const http::ResponseHead &Head) {
  unsigned Age = 0;
  if (auto Text = Head.Fields.find(OriginFailureAgeField))
    std::from_chars(Text->data(), Text->data() + Text->size(), Age);
  return std::min(milliseconds(Age), OriginUnreachablePeriod);
}

/// @return the name of a fetch, for the log.
std::string_view kindOf(ChunkFetch::Source From) {
  switch (From) {
  case ChunkFetch::Source::Origin:
    return "chunk from the origin";
  case ChunkFetch::Source::DomainPeer:
    return "chunk from the own failure domain";
  default:
    return "chunk through a reader";
  }
}

/// @return the role in which a peer is asked for a chunk; see `chunkPath`.
const char *roleOf(ChunkFetch::Source From) {
  switch (From) {
  case ChunkFetch::Source::RegionReader:
    return "region";
  case ChunkFetch::Source::FleetReader:
    return "fleet";
  default:
    return "held";
  }
}

} // namespace

struct ChunkFetcher::State : std::enable_shared_from_this<ChunkFetcher::State> {
  State(asio::io_context &Loop, const NodeSettings &Settings, HttpClient &Calls,
        PeerSocket &Link, std::string OriginAddress,
        std::shared_ptr<VersionChunks> Chunks,
        std::shared_ptr<swarm::InboundPacing> Inbound, VersionSize Size)
      : Loop(Loop), Settings(Settings), Calls(Calls), Link(Link),
        OriginAddress(std::move(OriginAddress)), Chunks(std::move(Chunks)),
        Timer(Loop), Inbound(std::move(Inbound)), ChunkBytes(Size.ChunkBytes),
        Planning(swarm::PlannerSettings::forShortCopies(
            std::chrono::duration_cast<std::chrono::nanoseconds>(
                Size.CopyTime))) {
    const platform::OriginManifest &Manifest = this->Chunks->manifest();
    core::Digest Version = core::Digest::of(Manifest.Model + "/" +
                                            std::to_string(Manifest.Version));
    Planner = swarm::SwarmPlanner::create(core::HostId(Settings.Ip), Version,
                                          Manifest.Chunks, this->Chunks->held(),
                                          Planning, std::random_device{}());
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
    if (Stopped || !HasMembers ||
        LinkThrottle.shouldWait(FetchesInFlight, Steady::now()))
      return;
    // The planner's own limit of remote fetches applies; no further pacing.
    for (ChunkFetch &Fetch :
         Planner->plan(Steady::now(), Planning.MaxRemoteReads))
      asio::co_spawn(
          Loop,
          [Self = shared_from_this(), Fetch = std::move(Fetch)]()
              -> asio::awaitable<void> { co_await Self->fetch(Fetch); },
          asio::detached);
  }

  asio::awaitable<void> fetch(const ChunkFetch &Fetch) {
    const platform::OriginManifest &Manifest = Chunks->manifest();
    HttpClient::Call Call;
    Call.Timeout =
        std::chrono::duration_cast<milliseconds>(Planning.RequestTimeout);
    Call.MaxBodyBytes = MaxChunkBytes;
    std::string Address = OriginAddress;
    Call.Kind = kindOf(Fetch.From);
    if (Fetch.From == ChunkFetch::Source::Origin) {
      Call.Request =
          platform::chunkRequest(Manifest.Model, Manifest.Version, Fetch.Chunk);
    } else {
      Call.Request.Method = "GET";
      Call.Request.Target = chunkPath(Manifest.Model, Manifest.Version,
                                      Fetch.Chunk, roleOf(Fetch.From));
      Address = Fetch.Host.str() + ":" + std::to_string(Settings.PeerPort);
    }
    bool IsOrigin = Fetch.From == ChunkFetch::Source::Origin;
    bool IsPull = Fetch.From == ChunkFetch::Source::DomainPeer;
    if (IsPull)
      co_await awaitBandwidth();
    if (IsPull)
      Call.OnBodyEnd =
          [Self = shared_from_this()](const HttpClient::BodyTransfer &Body) {
            Self->LinkThrottle.recordTransfer(Body.Time, Steady::now());
          };
    ++FetchesInFlight;
    auto Response = co_await Calls.exchange(Address, std::move(Call));
    --FetchesInFlight;
    std::size_t Received = Response ? Response->Body.size() : 0;
    if (IsPull)
      Inbound->pullEnded(ChunkBytes, Received, Steady::now());
    else
      Inbound->readEnded(Received, Steady::now());
    if (IsOrigin && !Response) {
      asio::steady_timer Pause(Loop, OriginFailureDelay);
      co_await Pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    FetchOutcome Outcome = FetchOutcome::Failed;
    bool Stored = false;
    if (Response && Response->Head.Status == 200) {
      Stored = Chunks->has(Fetch.Chunk) ||
               Chunks->receive(Fetch.Chunk, std::move(Response->Body), Address);
      if (Stored)
        Outcome = FetchOutcome::Stored;
      else
        logDigestMismatch(Fetch, Address);
    } else if (Response && Response->Head.Status == 404) {
      Outcome = FetchOutcome::NotHeld;
    } else if (Response && Response->Head.Status == OriginUnreachableStatus) {
      recordOriginFailure(Steady::now() - reportedFailureAge(Response->Head));
      Outcome = FetchOutcome::NotHeld;
    } else if (IsOrigin && !Response) {
      recordOriginFailure(Steady::now());
      Outcome = FetchOutcome::NotHeld;
    } else if (Response && Response->Head.Status == BusyStatus) {
      Outcome = FetchOutcome::Busy;
    }
    Steady::time_point Now = Steady::now();
    bool InTime = Planner->reportOutcome(Fetch.Id, Outcome, Now);
    if (Stored && !InTime)
      Planner->markStored(Fetch.Chunk, Now);
    if (IsOrigin && Response)
      OriginFailedAt.reset();
    if (Stored && IsOrigin)
      ++FromOrigin;
    plan();
    if (Chunks->held().full())
      announceCompletion();
  }

  asio::awaitable<void> awaitBandwidth() {
    asio::steady_timer Pause(Loop);
    while (!Inbound->pullAllowed(Steady::now())) {
      Pause.expires_after(BandwidthPollPeriod);
      co_await Pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    Inbound->pullStarted(ChunkBytes, Steady::now());
  }

  /// Tells the planner, so that no other host takes over from the readers while
  /// no chunk can arrive.
  /// @param At when a host, this one or another, failed to reach the origin.
  /// What other hosts say never makes the observation newer than it is.
  void recordOriginFailure(Steady::time_point At) {
    OriginFailedAt = std::max(OriginFailedAt.value_or(At), At);
    Planner->markOriginUnreachable(At);
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
    if (Announcements++ % AnnouncementsPerRemoteOne == 0)
      for (const core::HostId &Peer : Planner->remoteView())
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
  std::shared_ptr<swarm::InboundPacing> Inbound;
  const std::size_t ChunkBytes;
  const swarm::PlannerSettings Planning;
  std::unique_ptr<swarm::SwarmPlanner> Planner;
  std::vector<swarm::EngineHost> Members;
  bool HasMembers = false;
  bool IsComplete = false;
  /// Set when the owner is destroyed; fetches in progress still end.
  bool Stopped = false;
  std::size_t Announcements = 0;
  std::size_t FromOrigin = 0;
  std::size_t FetchesInFlight = 0;
  /// Limits the fetches while the link of this host is slower than configured.
  swarm::SlowLink LinkThrottle{SlowTransferTime};
  /// When a host last failed to reach the origin, as far as this one knows;
  /// absent after a read of its own that succeeded.
  std::optional<Steady::time_point> OriginFailedAt;
  Steady::time_point LastAnnouncedAt{};
  Steady::time_point LastLoggedAt{};
  Steady::time_point StartedAt = Steady::now();
};

std::unique_ptr<ChunkFetcher> ChunkFetcher::start(
    asio::io_context &Loop, const NodeSettings &Settings, HttpClient &Calls,
    PeerSocket &Link, std::string OriginAddress,
    std::shared_ptr<VersionChunks> Chunks,
    std::shared_ptr<swarm::InboundPacing> Inbound, VersionSize Size) {
  auto S = std::make_shared<State>(Loop, Settings, Calls, Link,
                                   std::move(OriginAddress), std::move(Chunks),
                                   std::move(Inbound), Size);
  S->tick();
  return std::unique_ptr<ChunkFetcher>(new ChunkFetcher(std::move(S)));
}

ChunkFetcher::ChunkFetcher(std::shared_ptr<State> S) : S(std::move(S)) {}

ChunkFetcher::~ChunkFetcher() {
  S->Stopped = true;
  S->Timer.cancel();
}

void ChunkFetcher::setSuperseded(bool Superseded) {
  S->Planner->setSuperseded(Superseded);
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

std::optional<milliseconds> ChunkFetcher::originFailureAge() const {
  if (!S->OriginFailedAt)
    return std::nullopt;
  auto Age =
      std::chrono::ceil<milliseconds>(Steady::now() - *S->OriginFailedAt);
  return Age < OriginUnreachablePeriod ? std::optional(Age) : std::nullopt;
}

void ChunkFetcher::recordDemand(std::size_t Chunk, bool AsFleetReader) {
  if (S->HasMembers)
    S->Planner->markDemanded(Chunk, AsFleetReader
                                        ? ChunkFetch::Source::FleetReader
                                        : ChunkFetch::Source::RegionReader);
}

} // namespace rosemarylane
