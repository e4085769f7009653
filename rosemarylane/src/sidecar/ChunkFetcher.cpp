#include "sidecar/ChunkFetcher.h"

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
constexpr milliseconds TellPeriod{90};
constexpr milliseconds ChunkDeadline{1500};
/// Chunks asked for at once; they start at the pace that the link is given.
constexpr std::size_t PullsAtOnce = 4;
constexpr std::size_t RemoteReads = 10;
/// A chunk from a neighbour that is on its way for longer shows a slow link.
constexpr milliseconds SlowChunk{700};
/// Connections of one host to the origin, which accepts few from all together.
constexpr std::size_t OriginReadsAtOnce = 2;
constexpr milliseconds OriginPoll{10};
/// A read that finds no connection to the origin for so long is planned anew.
constexpr milliseconds OriginWait{400};
/// Pause after the origin could not be reached.
constexpr milliseconds OriginPause{120};
constexpr milliseconds OriginAwayTime{1000};
constexpr milliseconds LinkPoll{4};
constexpr milliseconds LogPeriod{500};
constexpr std::size_t UsualChunkBytes = 24 << 10;

swarm::PlannerSettings plannerSettings(std::uint64_t Rate, std::size_t Chunks,
                                       std::size_t ChunkBytes) {
  swarm::PlannerSettings Result;
  Result.PullsAtOnce = PullsAtOnce;
  Result.RemoteReadsAtOnce = RemoteReads;
  Result.RequestTimeout = ChunkDeadline;
  Result.RemoteTimeout = ChunkDeadline;
  Result.StallTimeout = milliseconds(700);
  Result.BusyDelay = milliseconds(40);
  Result.PollDelay = milliseconds(60);
  Result.ListenTime = milliseconds(30);
  Result.SettleTime = milliseconds(30);
  double Bytes = static_cast<double>(Chunks * ChunkBytes);
  double PerSecond = static_cast<double>(std::max<std::uint64_t>(Rate, 1));
  Result.CopyTime = std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(Bytes / PerSecond));
  return Result;
}

} // namespace

std::string chunkPath(const std::string &Model, std::uint64_t Version,
                      std::size_t Chunk, const char *Reader) {
  return "/chunks/" + Model + "/" + std::to_string(Version) + "/" +
         std::to_string(Chunk) + "/" + Reader;
}

struct ChunkFetcher::State : std::enable_shared_from_this<ChunkFetcher::State> {
  State(asio::io_context &Loop, const NodeSettings &Settings, HttpClient &Calls,
        PeerSocket &Link, std::string OriginAddress,
        std::shared_ptr<VersionChunks> Chunks, std::uint64_t Rate)
      : Loop(Loop), Settings(Settings), Calls(Calls), Link(Link),
        OriginAddress(std::move(OriginAddress)), Chunks(std::move(Chunks)),
        Timer(Loop), Inbound(Rate, UsualChunkBytes / 2) {
    const platform::OriginManifest &M = this->Chunks->manifest();
    core::Digest Version =
        core::Digest::of(M.Model + "/" + std::to_string(M.Version));
    Planner = swarm::SwarmPlanner::create(
        core::HostId(Settings.Ip), Version, M.Chunks, this->Chunks->held(),
        plannerSettings(Rate, M.Chunks.size(), UsualChunkBytes),
        std::random_device{}());
  }

  void tick() {
    if (Chunks->held().full()) {
      tell(false);
      return;
    }
    plan();
    if (Steady::now() - Told >= TellPeriod)
      tell(true);
    if (Steady::now() - Logged >= LogPeriod)
      logProgress();
    Timer.expires_after(PlanPeriod);
    Timer.async_wait([Weak = weak_from_this()](auto Failed) {
      auto Self = Weak.lock();
      if (Self && !Failed)
        Self->tick();
    });
  }

  void plan() {
    if (!HasMembers || OwnLink.yields(InFlight, Steady::now()))
      return;
    for (ChunkFetch &Fetch : Planner->plan(Steady::now(), RemoteReads))
      asio::co_spawn(
          Loop,
          [Self = shared_from_this(), Fetch = std::move(Fetch)]()
              -> asio::awaitable<void> { co_await Self->fetch(Fetch); },
          asio::detached);
  }

  asio::awaitable<void> fetch(const ChunkFetch &Fetch) {
    const platform::OriginManifest &M = Chunks->manifest();
    HttpClient::Call Call;
    Call.Deadline = ChunkDeadline;
    std::string Address = OriginAddress;
    if (Fetch.From == ChunkFetch::Source::Origin) {
      Call.Request = platform::chunkRequest(M.Model, M.Version, Fetch.Chunk);
    } else {
      const char *Reader = Fetch.From == ChunkFetch::Source::Neighbour ? "held"
                           : Fetch.From == ChunkFetch::Source::RegionReader
                               ? "region"
                               : "fleet";
      Call.Request.Method = "GET";
      Call.Request.Target = chunkPath(M.Model, M.Version, Fetch.Chunk, Reader);
      Address = Fetch.Host.str() + ":" + std::to_string(Settings.PeerPort);
    }
    bool Origin = Fetch.From == ChunkFetch::Source::Origin;
    bool Allowed = true;
    if (Origin)
      Allowed = co_await takeOriginPlace(Fetch.Chunk);
    if (!Allowed) {
      Planner->finished(Fetch.Id,
                        Chunks->has(Fetch.Chunk) ? FetchOutcome::Stored
                                                 : FetchOutcome::Busy,
                        Steady::now());
      co_return;
    }
    // The origin feeds the whole fleet: its chunks do not wait for others.
    if (Fetch.From == ChunkFetch::Source::Neighbour)
      co_await takeLink();
    else
      Inbound.take(UsualChunkBytes, Steady::now());
    if (Fetch.From == ChunkFetch::Source::Neighbour)
      Call.OnBodyEnd = [Self = shared_from_this()](Steady::duration Took) {
        Self->OwnLink.transferred(Took, Steady::now());
      };
    ++InFlight;
    auto Answer = co_await Calls.exchange(Address, std::move(Call));
    --InFlight;
    if (Origin && !Answer) {
      asio::steady_timer Pause(Loop, OriginPause);
      co_await Pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (Origin)
      --OriginReads;
    FetchOutcome Outcome = FetchOutcome::Failed;
    bool Stored = false;
    if (Answer && Answer->Head.Status == 200) {
      Stored = Chunks->has(Fetch.Chunk) ||
               Chunks->store(Fetch.Chunk, std::move(Answer->Body));
      if (Stored)
        Outcome = FetchOutcome::Stored;
      else
        noteSpoilt(Fetch, Address);
    } else if (Answer && Answer->Head.Status == 404) {
      Outcome = FetchOutcome::NotHeld;
    } else if (Answer && Answer->Head.Status == OriginAwayStatus) {
      noteOriginAway();
      Outcome = FetchOutcome::NotHeld;
    } else if (Origin && !Answer) {
      noteOriginAway();
      Outcome = FetchOutcome::NotHeld;
    } else if (Answer && Answer->Head.Status == 503) {
      Outcome = FetchOutcome::Busy;
    }
    Steady::time_point Now = Steady::now();
    bool InTime = Planner->finished(Fetch.Id, Outcome, Now);
    if (Stored && !InTime)
      Planner->storedLate(Fetch.Chunk, Now);
    if (Stored && Fetch.From == ChunkFetch::Source::Origin)
      ++FromOrigin;
    plan();
    if (Chunks->held().full())
      noteWhole();
  }

  asio::awaitable<void> takeLink() {
    asio::steady_timer Pause(Loop);
    while (!Inbound.ready(Steady::now())) {
      Pause.expires_after(LinkPoll);
      co_await Pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    Inbound.take(UsualChunkBytes, Steady::now());
  }

  /// @return false if the chunk came another way, or the wait is too long.
  asio::awaitable<bool> takeOriginPlace(std::size_t Chunk) {
    asio::steady_timer Pause(Loop);
    Steady::time_point Until = Steady::now() + OriginWait;
    while (OriginReads >= OriginReadsAtOnce) {
      if (Chunks->has(Chunk) || Steady::now() >= Until)
        co_return false;
      Pause.expires_after(OriginPoll);
      co_await Pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    ++OriginReads;
    co_return true;
  }

  void noteOriginAway() {
    OriginLost = Steady::now();
    Planner->originAway(OriginLost);
  }

  void noteSpoilt(const ChunkFetch &Fetch, const std::string &Address) {
    telemetry::log(telemetry::Level::Warning, "chunk has a wrong digest",
                   {{"version", std::int64_t(Chunks->manifest().Version)},
                    {"chunk", std::int64_t(Fetch.Chunk)},
                    {"source", Address}});
  }

  void noteWhole() {
    if (std::exchange(Whole, true))
      return;
    tell(false);
    telemetry::log(
        telemetry::Level::Info, "version is whole",
        {{"model", Chunks->manifest().Model},
         {"version", std::int64_t(Chunks->manifest().Version)},
         {"from_origin", std::int64_t(FromOrigin)},
         {"ms", std::int64_t(std::chrono::duration_cast<milliseconds>(
                                 Steady::now() - Began)
                                 .count())}});
  }

  void logProgress() {
    Logged = Steady::now();
    telemetry::log(telemetry::Level::Info, "version incomplete",
                   {{"version", std::int64_t(Chunks->manifest().Version)},
                    {"held", std::int64_t(Chunks->held().count())},
                    {"from_origin", std::int64_t(FromOrigin)},
                    {"under_way", std::int64_t(InFlight)},
                    {"members", std::int64_t(Members.size())}});
  }

  void tell(bool Ask) {
    Told = Steady::now();
    wire::NodeMessage Message;
    wire::Holdings *Mine = Message.mutable_holdings();
    Mine->set_model(Chunks->manifest().Model);
    Mine->set_version(Chunks->manifest().Version);
    Mine->set_chunks(Chunks->held().bytes());
    Mine->set_tell(Ask);
    for (const core::HostId &Peer : Planner->view())
      Link.send(Peer.str(), Message);
  }

  asio::io_context &Loop;
  const NodeSettings &Settings;
  HttpClient &Calls;
  PeerSocket &Link;
  std::string OriginAddress;
  std::shared_ptr<VersionChunks> Chunks;
  asio::steady_timer Timer;
  swarm::TokenBucket Inbound;
  std::unique_ptr<swarm::SwarmPlanner> Planner;
  std::vector<swarm::EngineHost> Members;
  bool HasMembers = false;
  bool Whole = false;
  std::size_t FromOrigin = 0;
  std::size_t OriginReads = 0;
  std::size_t InFlight = 0;
  swarm::SlowLink OwnLink{SlowChunk};
  Steady::time_point OriginLost{};
  Steady::time_point Told{};
  Steady::time_point Logged{};
  Steady::time_point Began = Steady::now();
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
  S->Inbound.setRate(BytesPerSecond, Steady::now());
}

void ChunkFetcher::setMembers(const std::vector<swarm::EngineHost> &Members) {
  if (S->HasMembers && S->Members == Members)
    return;
  // A host whose target is not registered just now has no rank among the
  // others, and keeps the ranks that it had.
  bool Ranked = std::any_of(Members.begin(), Members.end(),
                            [&](const swarm::EngineHost &H) {
                              return H.Host.str() == S->Settings.Ip;
                            });
  if (!Ranked)
    return;
  S->Members = Members;
  S->HasMembers = true;
  S->Planner->setMembers(Members, static_cast<std::uint32_t>(Members.size()),
                         Steady::now());
}

void ChunkFetcher::peerHolds(const std::string &Ip,
                             const wire::Holdings &Told) {
  auto Held = swarm::ChunkSet::fromBytes(S->Chunks->size(), Told.chunks());
  if (Held && S->HasMembers)
    S->Planner->peerHolds(core::HostId(Ip), std::move(*Held), Steady::now());
}

bool ChunkFetcher::originAway() const {
  return Steady::now() - S->OriginLost < OriginAwayTime;
}

void ChunkFetcher::demanded(std::size_t Chunk, bool AsFleetReader) {
  if (S->HasMembers)
    S->Planner->demanded(Chunk, AsFleetReader
                                    ? ChunkFetch::Source::FleetReader
                                    : ChunkFetch::Source::RegionReader);
}

} // namespace rosemarylane
