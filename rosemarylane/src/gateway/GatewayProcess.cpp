#include "Command.h"
#include "gateway/CallerConnection.h"
#include "gateway/GatewayContext.h"
#include "node/HttpCalls.h"
#include "node/NodeRuntime.h"
#include "node/PeerLink.h"
#include "node/PeerServer.h"
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
/// Time after SIGTERM in which new connections are still accepted: the load
/// balancer needs two failed readiness checks before it stops sending callers
/// here.
constexpr milliseconds AcceptPeriodAfterStop{2500};
/// Fraction of the grace period after which the process exits even if requests
/// are in progress.
constexpr double DrainFractionOfGracePeriod = 0.9;
/// The gateway reports not ready once the store's last confirmation of the
/// operators' section is older than this fraction of the key revocation time,
/// so that callers are sent elsewhere before their requests are refused.
constexpr double ReadyProofAgeFraction = 0.7;
/// Number of gateways per failure domain assumed to share the warm-up limit of
/// cold targets and the retry budget, for `GatewayDiscoveryPeriod` after the
/// start: the others may not have been heard from yet.
constexpr std::size_t AssumedGateways = 4;
constexpr milliseconds GatewayDiscoveryPeriod{4000};

serving::LoadBalancerSettings
targetBoardSettings(const NodeSettings &Settings) {
  serving::LoadBalancerSettings Result;
  Result.OwnDomain = Settings.FailureDomain;
  Result.RegionOf = Settings.RegionOf;
  Result.EngineQueue = Settings.Limits.EngineQueue;
  Result.EngineWaiting = Settings.Limits.EngineWaiting;
  return Result;
}

/// Owns the components of a gateway and connects them: caller and peer
/// listeners, readiness, store follower, and the state shared by requests.
///
/// Created on the stack of `runGateway` and lives until the process exits. Not
/// thread-safe: all callbacks run on the thread of the event loop.
class GatewayProcess {
public:
  explicit GatewayProcess(NodeRuntime &Runtime)
      : Runtime(Runtime), Settings(Runtime.settings()),
        Context(Runtime.loop(), Settings, targetBoardSettings(Settings)),
        Calls(Runtime.loop()), Acceptor(Runtime.loop()), Timer(Runtime.loop()),
        Deadlines({Settings.Objectives.VersionActivationDelay,
                   Settings.Objectives.ReconnectGrace}),
        StartedAt(BootClock::now()) {}

  bool start();
  void stop();

private:
  bool listenForCallers();
  asio::awaitable<void> accept();
  asio::awaitable<http::Response>
  handlePeerRequest(const http::Request &Request);
  asio::awaitable<http::Response> handleReadinessRequest(const http::Request &);
  void handleMessage(const wire::NodeMessage &Message);
  void handleTargetReport(const wire::TargetReport &Report);
  void operatorsChanged(const serving::StoreSection &Section,
                        std::optional<BootTime> Unchanged);
  void registryChanged(const serving::StoreSection &Section);
  void updateNamedVersions(const platform::OperatorRecords &Records,
                           std::optional<BootTime> Unchanged);
  void tick();
  void scheduleTick();
  void updateGatewayCounts();
  bool ready() const;
  void exitIfDrained();

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
  std::list<std::weak_ptr<CallerConnection>> CallerConnections;
  serving::VersionDeadlines Deadlines;
  std::vector<serving::RegisteredTarget> Registered;
  BootTime StartedAt;
  std::optional<BootTime> StoppedAt;
  bool WasReady = false;
};

bool GatewayProcess::start() {
  Link =
      PeerSocket::open(Runtime.loop(), Settings, serving::PeerRole::Gateway,
                       [this](const wire::NodeMessage &Message,
                              const std::string &) { handleMessage(Message); });
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
  Hooks.OnPeersChanged = [this] { updateGatewayCounts(); };
  Follower =
      StoreFollower::start(Runtime.loop(), Settings, serving::PeerRole::Gateway,
                           Calls, *Link, std::move(Hooks));
  Context.Follower = Follower.get();
  Peers = PeerServer::listen(
      Runtime.loop(), Settings.Ip + ":" + std::to_string(Settings.PeerPort),
      [this](const http::Request &R) { return handlePeerRequest(R); }, 0);
  Readiness = PeerServer::listen(
      Runtime.loop(), Settings.ReadinessAddress,
      [this](const http::Request &R) { return handleReadinessRequest(R); }, 0);
  if (!Peers || !Readiness || !listenForCallers())
    return false;
  updateGatewayCounts();
  scheduleTick();
  return true;
}

bool GatewayProcess::listenForCallers() {
  auto Endpoint = parseEndpoint(Settings.CallerAddress);
  if (!Endpoint)
    return false;
  boost::system::error_code ErrorCode;
  Acceptor.open(Tcp::v4(), ErrorCode);
  if (!ErrorCode)
    Acceptor.set_option(Tcp::acceptor::reuse_address(true), ErrorCode);
  if (!ErrorCode)
    Acceptor.bind(*Endpoint, ErrorCode);
  if (!ErrorCode)
    Acceptor.listen(asio::socket_base::max_listen_connections, ErrorCode);
  if (ErrorCode) {
    telemetry::log(telemetry::Level::Error,
                   "cannot listen on the caller address",
                   {{"error", ErrorCode.message()}});
    return false;
  }
  asio::co_spawn(
      Runtime.loop(), [this]() -> asio::awaitable<void> { co_await accept(); },
      asio::detached);
  return true;
}

asio::awaitable<void> GatewayProcess::accept() {
  for (;;) {
    auto [ErrorCode, Socket] =
        co_await Acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
    if (ErrorCode == asio::error::operation_aborted || !Acceptor.is_open())
      co_return;
    if (ErrorCode) {
      telemetry::log(telemetry::Level::Warning,
                     "cannot accept a connection; retrying",
                     {{"error", ErrorCode.message()}});
      asio::steady_timer Pause(Runtime.loop(), milliseconds(20));
      co_await Pause.async_wait(asio::as_tuple(asio::use_awaitable));
      continue;
    }
    auto Connection =
        std::make_shared<CallerConnection>(Context, std::move(Socket));
    CallerConnections.push_back(Connection);
    Connection->start();
  }
}

asio::awaitable<http::Response>
GatewayProcess::handlePeerRequest(const http::Request &Request) {
  if (auto Reply = Follower->answer(Request.Target))
    co_return std::move(*Reply);
  http::Response Reply;
  if (Request.Target == "/metrics") {
    Context.Metrics.setStoreCalls(Follower->storeRequestCount());
    Reply.Body = Context.Metrics.text();
    co_return Reply;
  }
  Reply.Head.Status = 404;
  co_return Reply;
}

asio::awaitable<http::Response>
GatewayProcess::handleReadinessRequest(const http::Request &) {
  http::Response Reply;
  Reply.Head.Status = ready() ? 200 : 503;
  co_return Reply;
}

bool GatewayProcess::ready() const {
  if (Context.Draining || !Context.Config)
    return false;
  if (!Context.Config->requiresApiKeys() || !Settings.Objectives.FailClosed)
    return true;
  auto ProofAge = Follower->operatorsStaleness();
  return ProofAge &&
         ProofAge->count() <
             static_cast<double>(
                 Settings.Objectives.MaxKeyRevocationDelay.count()) *
                 ReadyProofAgeFraction;
}

void GatewayProcess::handleMessage(const wire::NodeMessage &Message) {
  // A message may arrive before the follower has started.
  if (!Follower)
    return;
  Follower->received(Message);
  if (Message.has_target())
    handleTargetReport(Message.target());
}

void GatewayProcess::handleTargetReport(const wire::TargetReport &Source) {
  serving::AgentReport Report;
  Report.Address = Source.address();
  Report.StartTimeMs = Source.born();
  Report.Load.Running = Source.running();
  Report.Load.Waiting = Source.waiting();
  Report.Load.MemoryUsed = Source.memory_permille() / 1000.0;
  Report.Switching = Source.switching();
  Report.TimeToSwitch = milliseconds(Source.switch_in_ms());
  for (const wire::HeldModel &Held : Source.models())
    Report.Models.push_back({Held.model(), Held.version()});
  Context.Targets.updateFromReport(Report, BootClock::now(), Context.random());
  Context.advanceWaitQueues();
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
  Context.Targets.setEvacuated(Records.Evacuated);
  updateNamedVersions(Records, Unchanged);
  if (Context.Config)
    Context.Targets.setRegistered(Registered, *Context.Config,
                                  BootClock::now());
  telemetry::log(
      telemetry::Level::Info, "configuration in force",
      {{"version", std::int64_t(Context.Config ? Context.Config->Version : 0)},
       {"evacuated", std::int64_t(Records.Evacuated.size())}});
}

void GatewayProcess::updateNamedVersions(
    const platform::OperatorRecords &Records,
    std::optional<BootTime> Unchanged) {
  BootTime Now = BootClock::now();
  for (const platform::NamedVersion &Named : Records.Versions)
    for (const auto &Bound : Deadlines.recordVersion(
             Named.Model, Named.Version, Unchanged, Named.NamedAfter, Now)) {
      Context.Targets.setNamedVersion(Named.Model, Bound.Version,
                                      Bound.Deadline);
      auto Remaining =
          std::chrono::duration_cast<milliseconds>(Bound.Deadline - Now);
      telemetry::log(telemetry::Level::Info, "version named",
                     {{"model", Named.Model},
                      {"version", std::int64_t(Bound.Version)},
                      {"in_force_in_ms", std::int64_t(Remaining.count())}});
    }
}

void GatewayProcess::registryChanged(const serving::StoreSection &Section) {
  platform::RegistryRecords Records = platform::decodeRegistry(Section.items());
  for (const platform::DecodeError &E : Records.Errors)
    telemetry::log(telemetry::Level::Warning, "registry record unreadable",
                   {{"error", E.text()}});
  Registered = std::move(Records.Targets);
  if (Context.Config)
    Context.Targets.setRegistered(Registered, *Context.Config,
                                  BootClock::now());
  Context.advanceWaitQueues();
}

void GatewayProcess::updateGatewayCounts() {
  BootTime Now = BootClock::now();
  std::size_t InOwnDomain =
      Context.Follower
          ? Follower->peers().gatewayCount(Settings.FailureDomain, Now)
          : 1;
  std::size_t InFleet =
      Context.Follower
          ? Follower->peers().gatewayCount(core::FailureDomainId(), Now)
          : 1;
  if (Now - StartedAt < GatewayDiscoveryPeriod) {
    InOwnDomain = std::max(InOwnDomain, AssumedGateways);
    InFleet = std::max(InFleet, AssumedGateways * Settings.RegionOf.size());
  }
  std::map<core::FailureDomainId, std::size_t> InDomain;
  for (const auto &[Domain, Region] : Settings.RegionOf)
    InDomain[Domain] =
        Follower ? Follower->peers().gatewayCount(Domain, Now) : 0;
  InDomain[Settings.FailureDomain] = InOwnDomain;
  Context.Targets.setGatewayCount(std::move(InDomain));
  for (auto &[Service, Share] : Context.RetryBudgets)
    Share.setGatewayCount(InFleet);
}

void GatewayProcess::scheduleTick() {
  Timer.expires_after(TickPeriod);
  Timer.async_wait([this](auto ErrorCode) {
    if (ErrorCode)
      return;
    tick();
    scheduleTick();
  });
}

void GatewayProcess::tick() {
  BootTime Now = BootClock::now();
  Context.Connections.closeExpired(Now);
  Context.advanceWaitQueues();
  updateGatewayCounts();
  milliseconds IdleLimit = Context.Config ? Context.Config->Limits.IdleTimeout
                                          : serving::CallerLimits().IdleTimeout;
  std::erase_if(CallerConnections, [&](const auto &Weak) {
    auto Connection = Weak.lock();
    if (Connection)
      Connection->closeIfIdle(Now, IdleLimit);
    return !Connection;
  });
  if (ready() != WasReady) {
    WasReady = !WasReady;
    auto ProofAge = Follower->operatorsStaleness();
    telemetry::log(
        telemetry::Level::Info, WasReady ? "ready" : "not ready",
        {{"proof_age_ms", ProofAge ? ProofAge->count() : std::int64_t(-1)}});
  }
  exitIfDrained();
}

void GatewayProcess::stop() {
  Context.Draining = true;
  StoppedAt = BootClock::now();
}

void GatewayProcess::exitIfDrained() {
  if (!StoppedAt)
    return;
  BootTime Now = BootClock::now();
  milliseconds SinceStop =
      std::chrono::duration_cast<milliseconds>(Now - *StoppedAt);
  if (SinceStop < AcceptPeriodAfterStop)
    return;
  if (Acceptor.is_open()) {
    boost::system::error_code Ignored; // The process is ending.
    Acceptor.close(Ignored);
    for (const auto &Weak : CallerConnections)
      if (auto Connection = Weak.lock())
        Connection->drain();
  }
  auto Grace = std::chrono::duration_cast<milliseconds>(
      Settings.Objectives.GracePeriod * DrainFractionOfGracePeriod);
  if (Context.RequestsInProgress == 0 || SinceStop >= Grace)
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
