#include "Command.h"
#include "gateway/CallerConnection.h"
#include "gateway/GatewayContext.h"
#include "node/HttpClient.h"
#include "node/NodeRuntime.h"
#include "node/PeerServer.h"
#include "node/PeerSocket.h"
#include "node/Sockets.h"
#include "platform/Records.h"
#include "serving/VersionDeadlines.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <list>

namespace rosemarylane {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using core::BootClock;
using core::BootTime;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds TickPeriod{200};
/// After SIGTERM new connections are still taken for so long: the balancer
/// needs two failed readiness checks before it sends callers elsewhere.
constexpr milliseconds AcceptAfterStop{2500};
/// Part of the grace period after which what is still in progress is given up.
constexpr double GracePart = 0.9;
/// A gateway whose proof is older than this part of the revocation time sends
/// its callers elsewhere.
constexpr double UnreadyProofPart = 0.7;
/// Gateways assumed to share the cold limit and the retry budget before the
/// others have been heard.
constexpr std::size_t AssumedGateways = 4;
constexpr milliseconds SettleTime{4000};

serving::LoadBalancerSettings boardSettings(const NodeSettings &Settings) {
  serving::LoadBalancerSettings Result;
  Result.OwnDomain = Settings.FailureDomain;
  Result.RegionOf = Settings.RegionOf;
  Result.EngineQueue = Settings.Limits.EngineQueue;
  Result.EngineWaiting = Settings.Limits.EngineWaiting;
  return Result;
}

/// The gateway: its parts, and what joins them.
class GatewayProcess {
public:
  explicit GatewayProcess(NodeRuntime &Runtime)
      : Runtime(Runtime), Settings(Runtime.settings()),
        Context(Runtime.loop(), Settings, boardSettings(Settings)),
        Calls(Runtime.loop()), Acceptor(Runtime.loop()), Timer(Runtime.loop()),
        Deadlines({Settings.Objectives.VersionActivationDelay,
                   Settings.Objectives.ReconnectGrace}),
        StartedAt(BootClock::now()) {}

  bool start();
  void stop();

private:
  bool listenForCallers();
  asio::awaitable<void> accept();
  asio::awaitable<http::Response> answerPeer(const http::Request &Request);
  asio::awaitable<http::Response> answerReadiness(const http::Request &);
  void received(const wire::NodeMessage &Message);
  void takeReport(const wire::TargetReport &Report);
  void operatorsChanged(const serving::StoreSection &Section,
                        std::optional<BootTime> Unchanged);
  void registryChanged(const serving::StoreSection &Section);
  void nameVersions(const platform::OperatorRecords &Records,
                    std::optional<BootTime> Unchanged);
  void tick();
  void scheduleTick();
  void shareLimits();
  bool ready() const;
  void endIfDone();

  NodeRuntime &Runtime;
  const NodeSettings &Settings;
  GatewayContext Context;
  HttpClient Calls;
  std::unique_ptr<PeerSocket> Link;
  std::unique_ptr<StoreFollower> Follower;
  std::unique_ptr<PeerServer> Peers;
  std::unique_ptr<PeerServer> Readiness;
  std::unique_ptr<PeerServer> Metrics;
  Tcp::acceptor Acceptor;
  asio::steady_timer Timer;
  std::list<std::weak_ptr<CallerConnection>> Connections;
  serving::VersionDeadlines Deadlines;
  std::vector<serving::RegisteredTarget> Registered;
  BootTime StartedAt;
  std::optional<BootTime> StopAt;
  bool WasReady = false;
};

bool GatewayProcess::start() {
  Link = PeerSocket::open(Runtime.loop(), Settings, serving::PeerRole::Gateway,
                          [this](const wire::NodeMessage &Message,
                                 const std::string &) { received(Message); });
  if (!Link)
    return false;
  StoreFollower::Hooks Hooks;
  Hooks.OnOperatorsChanged = [this](const serving::StoreSection &Section,
                                    std::optional<BootTime> Unchanged) {
    operatorsChanged(Section, Unchanged);
  };
  Hooks.OnRegistryChanged = [this](const serving::StoreSection &Section) {
    registryChanged(Section);
  };
  Hooks.OnPeersChanged = [this] { shareLimits(); };
  Follower =
      StoreFollower::start(Runtime.loop(), Settings, serving::PeerRole::Gateway,
                           Calls, *Link, std::move(Hooks));
  Context.Follower = Follower.get();
  Peers = PeerServer::listen(
      Runtime.loop(), Settings.Ip + ":" + std::to_string(Settings.PeerPort),
      [this](const http::Request &R) { return answerPeer(R); }, 0);
  Readiness = PeerServer::listen(
      Runtime.loop(), Settings.ReadinessAddress,
      [this](const http::Request &R) { return answerReadiness(R); }, 0);
  if (!Peers || !Readiness || !listenForCallers())
    return false;
  shareLimits();
  scheduleTick();
  return true;
}

bool GatewayProcess::listenForCallers() {
  auto Endpoint = parseEndpoint(Settings.CallerAddress);
  if (!Endpoint)
    return false;
  boost::system::error_code Failed;
  Acceptor.open(Tcp::v4(), Failed);
  if (!Failed)
    Acceptor.set_option(Tcp::acceptor::reuse_address(true), Failed);
  if (!Failed)
    Acceptor.bind(*Endpoint, Failed);
  if (!Failed)
    Acceptor.listen(asio::socket_base::max_listen_connections, Failed);
  if (Failed) {
    telemetry::log(telemetry::Level::Error, "caller address cannot be bound",
                   {{"error", Failed.message()}});
    return false;
  }
  asio::co_spawn(
      Runtime.loop(), [this]() -> asio::awaitable<void> { co_await accept(); },
      asio::detached);
  return true;
}

asio::awaitable<void> GatewayProcess::accept() {
  for (;;) {
    auto [Failed, Socket] =
        co_await Acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
    if (Failed == asio::error::operation_aborted || !Acceptor.is_open())
      co_return;
    if (Failed) {
      telemetry::log(telemetry::Level::Warning, "connection not accepted",
                     {{"error", Failed.message()}});
      asio::steady_timer Pause(Runtime.loop(), milliseconds(20));
      co_await Pause.async_wait(asio::as_tuple(asio::use_awaitable));
      continue;
    }
    auto Connection =
        std::make_shared<CallerConnection>(Context, std::move(Socket));
    Connections.push_back(Connection);
    Connection->start();
  }
}

asio::awaitable<http::Response>
GatewayProcess::answerPeer(const http::Request &Request) {
  if (auto Answer = Follower->answer(Request.Target))
    co_return std::move(*Answer);
  http::Response Answer;
  if (Request.Target == "/metrics") {
    Context.Metrics.setStoreCalls(Follower->storeRequestCount());
    Answer.Body = Context.Metrics.text();
    co_return Answer;
  }
  Answer.Head.Status = 404;
  co_return Answer;
}

asio::awaitable<http::Response>
GatewayProcess::answerReadiness(const http::Request &) {
  http::Response Answer;
  Answer.Head.Status = ready() ? 200 : 503;
  co_return Answer;
}

bool GatewayProcess::ready() const {
  if (Context.Draining || !Context.Config)
    return false;
  if (!Context.Config->requiresApiKeys() || !Settings.Objectives.FailClosed)
    return true;
  auto Age = Follower->operatorsStaleness();
  return Age &&
         Age->count() < static_cast<double>(
                            Settings.Objectives.MaxKeyRevocationDelay.count()) *
                            UnreadyProofPart;
}

void GatewayProcess::received(const wire::NodeMessage &Message) {
  // A datagram may come before the follower has started.
  if (!Follower)
    return;
  Follower->received(Message);
  if (Message.has_target())
    takeReport(Message.target());
}

void GatewayProcess::takeReport(const wire::TargetReport &From) {
  serving::AgentReport Report;
  Report.Address = From.address();
  Report.StartTimeMs = From.born();
  Report.Load.Running = From.running();
  Report.Load.Waiting = From.waiting();
  Report.Load.MemoryUsed = From.memory_permille() / 1000.0;
  Report.Switching = From.switching();
  Report.TimeToSwitch = milliseconds(From.switch_in_ms());
  for (const wire::HeldModel &M : From.models())
    Report.Models.push_back({M.model(), M.version()});
  Context.Board.updateFromReport(Report, BootClock::now(), Context.random());
  Context.advanceLines();
}

void GatewayProcess::operatorsChanged(const serving::StoreSection &Section,
                                      std::optional<BootTime> Unchanged) {
  platform::OperatorRecords Records =
      platform::decodeOperators(Section.items());
  for (const platform::DecodeError &E : Records.Errors)
    telemetry::log(telemetry::Level::Error, "operators' record unreadable",
                   {{"error", E.text()}});
  if (Records.Config) {
    telemetry::setLogRevision(Records.Config->Version);
    Context.Config = std::make_shared<const serving::ServingConfig>(
        std::move(*Records.Config));
  }
  Context.Board.setEvacuated(Records.Evacuated);
  nameVersions(Records, Unchanged);
  if (Context.Config)
    Context.Board.setRegistered(Registered, *Context.Config, BootClock::now());
  telemetry::log(
      telemetry::Level::Info, "configuration in force",
      {{"version", std::int64_t(Context.Config ? Context.Config->Version : 0)},
       {"evacuated", std::int64_t(Records.Evacuated.size())}});
}

void GatewayProcess::nameVersions(const platform::OperatorRecords &Records,
                                  std::optional<BootTime> Unchanged) {
  BootTime Now = BootClock::now();
  for (const platform::NamedVersion &Named : Records.Versions)
    for (const auto &Bound : Deadlines.recordVersion(
             Named.Model, Named.Version, Unchanged, Named.NamedAfter, Now)) {
      Context.Board.setNamedVersion(Named.Model, Bound.Version, Bound.Deadline);
      auto Left =
          std::chrono::duration_cast<milliseconds>(Bound.Deadline - Now);
      telemetry::log(telemetry::Level::Info, "version named",
                     {{"model", Named.Model},
                      {"version", std::int64_t(Bound.Version)},
                      {"in_force_in_ms", std::int64_t(Left.count())}});
    }
}

void GatewayProcess::registryChanged(const serving::StoreSection &Section) {
  platform::RegistryRecords Records = platform::decodeRegistry(Section.items());
  for (const platform::DecodeError &E : Records.Errors)
    telemetry::log(telemetry::Level::Warning, "registry record unreadable",
                   {{"error", E.text()}});
  Registered = std::move(Records.Targets);
  if (Context.Config)
    Context.Board.setRegistered(Registered, *Context.Config, BootClock::now());
  Context.advanceLines();
}

void GatewayProcess::shareLimits() {
  BootTime Now = BootClock::now();
  std::size_t Near =
      Context.Follower ? Follower->peers().gateways(Settings.FailureDomain, Now)
                       : 1;
  std::size_t All =
      Context.Follower
          ? Follower->peers().gateways(core::FailureDomainId(), Now)
          : 1;
  if (Now - StartedAt < SettleTime) {
    Near = std::max(Near, AssumedGateways);
    All = std::max(All, AssumedGateways * Settings.RegionOf.size());
  }
  std::map<core::FailureDomainId, std::size_t> InDomain;
  for (const auto &[Domain, Region] : Settings.RegionOf)
    InDomain[Domain] = Follower ? Follower->peers().gateways(Domain, Now) : 0;
  InDomain[Settings.FailureDomain] = Near;
  Context.Board.setGateways(std::move(InDomain));
  for (auto &[Service, Share] : Context.Retries)
    Share.setGateways(All);
}

void GatewayProcess::scheduleTick() {
  Timer.expires_after(TickPeriod);
  Timer.async_wait([this](auto Failed) {
    if (Failed)
      return;
    tick();
    scheduleTick();
  });
}

void GatewayProcess::tick() {
  BootTime Now = BootClock::now();
  Context.Pool.sweep(Now);
  Context.advanceLines();
  shareLimits();
  milliseconds IdleLimit = Context.Config ? Context.Config->Limits.IdleTimeout
                                          : serving::CallerLimits().IdleTimeout;
  std::erase_if(Connections, [&](const auto &Weak) {
    auto Connection = Weak.lock();
    if (Connection)
      Connection->closeIfIdle(Now, IdleLimit);
    return !Connection;
  });
  if (ready() != WasReady) {
    WasReady = !WasReady;
    auto Age = Follower->operatorsStaleness();
    telemetry::log(telemetry::Level::Info, WasReady ? "ready" : "not ready",
                   {{"proof_age_ms", Age ? Age->count() : std::int64_t(-1)}});
  }
  endIfDone();
}

void GatewayProcess::stop() {
  Context.Draining = true;
  StopAt = BootClock::now();
}

void GatewayProcess::endIfDone() {
  if (!StopAt)
    return;
  BootTime Now = BootClock::now();
  milliseconds Since = std::chrono::duration_cast<milliseconds>(Now - *StopAt);
  if (Since < AcceptAfterStop)
    return;
  if (Acceptor.is_open()) {
    boost::system::error_code Ignored; // The process is ending.
    Acceptor.close(Ignored);
    for (const auto &Weak : Connections)
      if (auto Connection = Weak.lock())
        Connection->drain();
  }
  auto Grace = std::chrono::duration_cast<milliseconds>(
      Settings.Objectives.GracePeriod * GracePart);
  if (Context.InProgress == 0 || Since >= Grace)
    Runtime.stop();
}

} // namespace

ExitCode runGateway(int Argc, const char **Argv) {
  auto Runtime = NodeRuntime::create(NodeKind::Gateway, Argc, Argv);
  if (!Runtime)
    return Runtime.error();
  GatewayProcess Process(**Runtime);
  if (!Process.start())
    NodeRuntime::exit(ExitCode::Unreachable);
  (*Runtime)->run([&] { Process.stop(); });
  NodeRuntime::exit(ExitCode::Ok);
}

} // namespace rosemarylane
