#include "Command.h"
#include "gateway/CallerConnection.h"
#include "gateway/FleetCounts.h"
#include "gateway/GatewayContext.h"
#include "gateway/LoadWitness.h"
#include "gateway/Readiness.h"
#include "http/SocketBuffers.h"
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
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rosemarylane {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using core::BootClock;
using core::BootTime;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds TickPeriod{200};
/// Time after SIGTERM in which new connections are still accepted: the external
/// load balancer in front of the gateways needs two failed readiness checks
/// before it stops sending callers here.
constexpr milliseconds AcceptPeriodAfterStop{2500};
/// The same, at most, as a fraction of the grace period.
constexpr double MaxAcceptFractionOfGracePeriod = 0.5;
/// Fraction of the grace period after which all requests that are in progress
/// get their final answers.
constexpr double DrainFractionOfGracePeriod = 0.9;
/// Fraction of the grace period after which the process exits even if callers
/// have not taken these.
constexpr double ExitFractionOfGracePeriod = 0.95;

serving::LoadBalancerSettings
loadBalancerSettings(const NodeSettings &Settings) {
  serving::LoadBalancerSettings Result;
  Result.OwnDomain = Settings.FailureDomain;
  Result.RegionOf = Settings.RegionOf;
  Result.EngineQueue = Settings.Limits.EngineQueue;
  Result.EngineWaiting = Settings.Limits.EngineWaiting;
  Result.Spill.emplace();
  Result.Spill->OwnDomain = Settings.FailureDomain;
  Result.Spill->RegionOf = Settings.RegionOf;
  Result.Spill->LeaveAfter = Settings.Domains.LeaveAfter;
  Result.Spill->LeaveRegionAfter = Settings.Domains.LeaveRegionAfter;
  Result.Spill->TimePerMegabyte = Settings.Domains.TimePerMegabyte;
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
        Context(Runtime.loop(), Settings, loadBalancerSettings(Settings)),
        Calls(Runtime.loop()), Acceptor(Runtime.loop()), Timer(Runtime.loop()),
        ActivationDeadlines(
            // Delay from naming a version until no request may start on an
            // older one, and grace period after a partition.
            {Settings.Objectives.VersionActivationDelay,
             Settings.Objectives.ReconnectGrace}),
        Fleet(Context), Ready(Context) {}

  bool start();
  void stop();

private:
  bool listenForCallers();
  asio::awaitable<void> accept();
  void serveCaller(Tcp::socket Socket);
  /// Accepts the connections that the kernel holds for the process, which
  /// closing the acceptor would reset, and closes it.
  void stopAccepting();
  asio::awaitable<http::Response>
  handlePeerRequest(const http::Request &Request);
  asio::awaitable<http::Response> handleReadinessRequest(const http::Request &);
  void handleMessage(const wire::NodeMessage &Message, const std::string &Ip);
  void handleTargetReport(const wire::TargetReport &Report,
                          const std::string &Ip);
  /// Applies the section of the store that operators write: configuration,
  /// evacuated failure domains (their targets get no new requests) and named
  /// versions.
  /// @param UnchangedAt when the store last confirmed the previous content of
  /// the section, or the end of an outage since then; empty if there was none.
  void operatorsChanged(const serving::StoreSection::Items &Items,
                        std::optional<BootTime> UnchangedAt);
  void registryChanged(const serving::StoreSection::Items &Items);
  /// Logs the errors that the last call did not have.
  void logUnreadable(const std::vector<platform::DecodeError> &Errors);
  /// Updates the time from which targets with older weights get no new
  /// requests. A version is named when an operator writes it to the store as
  /// the one to serve.
  void updateNamedVersions(const platform::OperatorRecords &Records,
                           std::optional<BootTime> UnchangedAt);
  void tick();
  void scheduleTick();
  /// Logs what targets say of themselves, and closes the idle connections to
  /// those that leave.
  void watchTargetStatements();
  void reportDomainPressure();
  /// Logs how many connections a crowd of callers has cost since the last call.
  void logCrowd();
  milliseconds partOfGracePeriod(double Fraction) const;
  /// Gives all requests in progress their final answers.
  void endRequests();
  void exitIfDrained();

  NodeRuntime &Runtime;
  const NodeSettings &Settings;
  GatewayContext Context;
  HttpClient Calls;
  std::unique_ptr<PeerSocket> Link;
  /// Besides its copy of the store's sections, tracks the live peers and serves
  /// the sections to them.
  std::unique_ptr<StoreFollower> Follower;
  std::unique_ptr<PartQuarantineService> Quarantine;
  std::unique_ptr<LimitExchange> Limits;
  std::unique_ptr<LoadWitness> Loads;
  /// Serves other processes of the fleet, and the metrics.
  std::unique_ptr<PeerServer> PeerListener;
  /// Serves the readiness checks of the external load balancer.
  std::unique_ptr<PeerServer> ReadinessListener;
  /// Never set: `PeerListener` serves the metrics.
  std::unique_ptr<PeerServer> MetricsListener;
  Tcp::acceptor Acceptor;
  asio::steady_timer Timer;
  std::list<std::weak_ptr<CallerConnection>> CallerConnections;
  /// Times at which named versions take effect.
  serving::VersionDeadlines ActivationDeadlines;
  std::vector<serving::RegisteredTarget> Registered;
  /// The errors of the registry's unreadable records, which were logged.
  std::set<std::string> UnreadableRecords;
  FleetCounts Fleet;
  std::optional<BootTime> StoppedAt;
  /// As it was at the stop.
  milliseconds GracePeriod{0};
  Readiness Ready;
};

std::string nameOf(serving::StatementSource Source) {
  switch (Source) {
  case serving::StatementSource::Answer:
    return "answer";
  case serving::StatementSource::Registry:
    return "registry";
  case serving::StatementSource::Sidecar:
    return "sidecar";
  }
  return {};
}

void GatewayProcess::watchTargetStatements() {
  serving::LoadBalancer::Hooks Hooks;
  Hooks.OnLeaving = [this](const serving::TargetIncarnation &Target,
                           serving::StatementSource Source) {
    telemetry::log(telemetry::Level::Info, "target leaves",
                   {{"target", Target.Id.str()},
                    {"born", Target.StartTimeMs},
                    {"source", nameOf(Source)}});
    Context.TargetConnections.closeIdle(Target.Id);
  };
  Hooks.OnPaused = [](const serving::TargetIncarnation &Target,
                      milliseconds Duration) {
    telemetry::log(
        telemetry::Level::Info, "target wants no requests",
        {{"target", Target.Id.str()}, {"ms", std::int64_t(Duration.count())}});
  };
  Context.Targets.setHooks(std::move(Hooks));
  Context.Targets.onDomainPressure(
      [this](const std::string &Service, double Pressure) {
        telemetry::log(telemetry::Level::Info,
                       Pressure > 0 ? "own failure domain lacks room"
                                    : "own failure domain has room",
                       {{"service", Service},
                        {"failure_domain", Settings.FailureDomain.str()}});
      });
}

void GatewayProcess::reportDomainPressure() {
  if (!Context.Config)
    return;
  for (const serving::Service &S : Context.Config->Services)
    Context.Metrics.setDomainPressure(S.Name,
                                      Context.Targets.domainPressure(S.Name));
}

void GatewayProcess::logCrowd() {
  std::int64_t Yielded = std::exchange(Context.YieldedPlaces, 0);
  std::int64_t Unserved = std::exchange(Context.UnservedCallers, 0);
  if (Yielded == 0 && Unserved == 0)
    return;
  telemetry::log(telemetry::Level::Warning, "more callers than connections",
                 {{"closed", Yielded},
                  {"unserved", Unserved},
                  {"limit", std::int64_t(Context.Shares.Callers)}});
}

bool GatewayProcess::start() {
  watchTargetStatements();
  Link = PeerSocket::open(
      Runtime.loop(), Settings, serving::PeerRole::Gateway,
      [this](const wire::NodeMessage &Message, const std::string &Ip) {
        handleMessage(Message, Ip);
      });
  if (!Link)
    return false;
  StoreFollower::Hooks Hooks;
  Hooks.OnOperatorsChanged = [this](const serving::StoreSection::Items &Items,
                                    std::optional<BootTime> UnchangedAt) {
    operatorsChanged(Items, UnchangedAt);
  };
  Hooks.OnRegistryChanged = [this](const serving::StoreSection::Items &Items) {
    registryChanged(Items);
  };
  Hooks.OnPeersAdded = [this] { Fleet.update(Follower->peers()); };
  Follower =
      StoreFollower::start(Runtime.loop(), Settings, serving::PeerRole::Gateway,
                           Calls, *Link, std::move(Hooks));
  Context.Follower = Follower.get();
  Quarantine =
      PartQuarantineService::start(Runtime.loop(), *Link, Follower->peers());
  Context.Quarantine = Quarantine.get();
  Limits = std::make_unique<LimitExchange>(Context.Targets, *Link,
                                           Follower->peers());
  Context.Limits = Limits.get();
  Loads = std::make_unique<LoadWitness>(*Link);
  PeerListener = PeerServer::listen(
      Runtime.loop(), Settings.Ip + ":" + std::to_string(Settings.PeerPort),
      [this](const http::Request &R) { return handlePeerRequest(R); },
      /*LargeRate=*/0, Context.Shares.Peers);
  ReadinessListener = PeerServer::listen(
      Runtime.loop(), Settings.ReadinessAddress,
      [this](const http::Request &R) { return handleReadinessRequest(R); },
      /*LargeRate=*/0, Context.Shares.Readiness);
  if (!PeerListener || !ReadinessListener || !listenForCallers())
    return false;
  Fleet.update(Follower->peers());
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
    ErrorCode = http::limitSocketBuffers(Acceptor);
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
    // A connection may have been accepted right before the acceptor was closed.
    if (!ErrorCode) {
      serveCaller(std::move(Socket));
      continue;
    }
    if (ErrorCode == asio::error::operation_aborted || !Acceptor.is_open())
      co_return;
    telemetry::log(telemetry::Level::Warning,
                   "cannot accept a connection; retrying",
                   {{"error", ErrorCode.message()}});
    asio::steady_timer Pause(Runtime.loop(), milliseconds(20));
    co_await Pause.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

void GatewayProcess::serveCaller(Tcp::socket Socket) {
  // Otherwise the connection is closed: a caller that was not read may try
  // another gateway at once.
  if (!Context.Callers.makeRoom()) {
    ++Context.UnservedCallers;
    return;
  }
  auto Connection =
      std::make_shared<CallerConnection>(Context, std::move(Socket));
  CallerConnections.push_back(Connection);
  Connection->start();
  if (!Acceptor.is_open())
    Connection->drain();
}

void GatewayProcess::stopAccepting() {
  boost::system::error_code ErrorCode;
  Acceptor.non_blocking(true, ErrorCode);
  for (int I = 0; !ErrorCode && I < asio::socket_base::max_listen_connections;
       ++I) {
    Tcp::socket Socket(Runtime.loop());
    Acceptor.accept(Socket, ErrorCode);
    if (!ErrorCode)
      serveCaller(std::move(Socket));
  }
  if (ErrorCode && ErrorCode != asio::error::would_block)
    telemetry::log(telemetry::Level::Warning,
                   "cannot accept the waiting connections",
                   {{"error", ErrorCode.message()}});
  Acceptor.close(ErrorCode); // An error is ignored: the process is ending.
}

asio::awaitable<http::Response>
GatewayProcess::handlePeerRequest(const http::Request &Request) {
  if (auto Reply = Follower->answer(Request.Target))
    co_return std::move(*Reply);
  http::Response Reply;
  if (Request.Target == "/metrics") {
    Context.Metrics.setStoreCalls(Follower->storeRequestCount());
    Context.Metrics.setRegistryAge(Follower->registryStaleness());
    Reply.Body = Context.Metrics.text();
    co_return Reply;
  }
  Reply.Head.Status = 404;
  co_return Reply;
}

asio::awaitable<http::Response>
GatewayProcess::handleReadinessRequest(const http::Request &) {
  http::Response Reply;
  Reply.Head.Status = Ready.ready() ? 200 : 503;
  co_return Reply;
}

void GatewayProcess::handleMessage(const wire::NodeMessage &Message,
                                   const std::string &Ip) {
  // A message may arrive before these have started.
  if (!Follower || !Quarantine || !Limits || !Loads)
    return;
  Follower->received(Message);
  Quarantine->received(Message);
  if (Message.has_named_limit())
    Limits->received(Message.named_limit());
  if (Message.has_target())
    handleTargetReport(Message.target(), Ip);
}

void GatewayProcess::handleTargetReport(const wire::TargetReport &Source,
                                        const std::string &Ip) {
  // Sent by the sidecar on the host of the target.
  serving::AgentReport Report;
  Report.Address = Source.address();
  Report.StartTimeMs = Source.born();
  Report.Load.Running = Source.running();
  Report.Load.Waiting = Source.waiting();
  Report.Load.KvCacheUsedFraction = Source.memory_permille() / 1000.0;
  if (Source.slowness_percent() > 0)
    Report.Load.Slowness = Source.slowness_percent() / 100.0;
  bool IsKnownWhole = Loads->received(Source, Ip);
  Report.Switching = Source.switching() && !IsKnownWhole;
  Report.Leaving = Source.leaving();
  Report.TimeToSwitch = milliseconds(Source.switch_in_ms());
  for (const wire::HeldModel &Held : Source.models())
    Report.Models.push_back({Held.model(), Held.version()});
  Quarantine->targetAlive(Report.Address, Report.StartTimeMs);
  if (Source.has_limit())
    Limits->received(Source.limit());
  Context.Targets.updateFromReport(Report, BootClock::now(), Context.random());
  Context.advanceWaitQueues();
}

void GatewayProcess::operatorsChanged(const serving::StoreSection::Items &Items,
                                      std::optional<BootTime> UnchangedAt) {
  platform::OperatorRecords Records = platform::decodeOperators(Items);
  for (const platform::DecodeError &E : Records.Errors)
    telemetry::log(telemetry::Level::Error, "operators' record unreadable",
                   {{"error", E.text()}});
  if (Records.Config) {
    telemetry::setLogRevision(Records.Config->Version);
    Context.Config = std::make_shared<const serving::ServingConfig>(
        std::move(*Records.Config));
    Context.Times.keepOnly(*Context.Config);
  }
  Context.Targets.setEvacuated(Records.Evacuated);
  updateNamedVersions(Records, UnchangedAt);
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
    std::optional<BootTime> UnchangedAt) {
  BootTime Now = BootClock::now();
  // `NamedAfter` is the latest time at which the version was not named yet;
  // empty if unknown.
  for (const platform::NamedVersion &Named : Records.Versions)
    for (const auto &Activation : ActivationDeadlines.recordVersion(
             Named.Model, Named.Version, UnchangedAt, Named.NamedAfter, Now)) {
      Context.Targets.setNamedVersion(Named.Model, Activation.Version,
                                      Activation.Deadline);
      auto Remaining =
          std::chrono::duration_cast<milliseconds>(Activation.Deadline - Now);
      telemetry::log(telemetry::Level::Info, "version named",
                     {{"model", Named.Model},
                      {"version", std::int64_t(Activation.Version)},
                      {"in_force_in_ms", std::int64_t(Remaining.count())}});
    }
}

void GatewayProcess::logUnreadable(
    const std::vector<platform::DecodeError> &Errors) {
  std::set<std::string> Texts;
  for (const platform::DecodeError &E : Errors)
    Texts.insert(E.text());
  for (const std::string &Text : Texts)
    if (!UnreadableRecords.contains(Text))
      telemetry::log(telemetry::Level::Warning, "registry record unreadable",
                     {{"error", Text}});
  UnreadableRecords = std::move(Texts);
}

void GatewayProcess::registryChanged(
    const serving::StoreSection::Items &Items) {
  platform::RegistryRecords Records = platform::decodeRegistry(Items);
  logUnreadable(Records.Errors);
  Registered = std::move(Records.Targets);
  // Targets register what they have loaded, but only their sidecars know
  // whether that is whole.
  for (serving::RegisteredTarget &Target : Registered)
    Target.Models.clear();
  if (Context.Config)
    Context.Targets.setRegistered(Registered, *Context.Config,
                                  BootClock::now());
  Context.advanceWaitQueues();
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
  Context.TargetConnections.closeExpired(Now);
  Context.recheckWaitQueues();
  reportDomainPressure();
  logCrowd();
  Fleet.update(Follower->peers());
  if (auto Staleness = Follower->registryStaleness())
    Quarantine->targetsRegistered(Registered, Now - *Staleness);
  milliseconds IdleLimit = Context.Config ? Context.Config->Limits.IdleTimeout
                                          : serving::CallerLimits().IdleTimeout;
  std::int64_t IdleClosed = 0;
  std::erase_if(CallerConnections, [&](const auto &Weak) {
    auto Connection = Weak.lock();
    if (Connection && Connection->closeIfIdle(Now, IdleLimit))
      ++IdleClosed;
    return !Connection;
  });
  if (IdleClosed > 0)
    telemetry::log(
        telemetry::Level::Info, "idle connections closed",
        {{"count", IdleClosed}, {"limit_ms", std::int64_t(IdleLimit.count())}});
  Ready.logChange();
  exitIfDrained();
}

void GatewayProcess::stop() {
  Context.Draining = true;
  StoppedAt = BootClock::now();
  // The settings may change while the process stops.
  GracePeriod = Settings.Objectives.GracePeriod;
  Context.Stop.begin(Shutdown::Clock::now() +
                     partOfGracePeriod(DrainFractionOfGracePeriod));
}

milliseconds GatewayProcess::partOfGracePeriod(double Fraction) const {
  return std::chrono::duration_cast<milliseconds>(GracePeriod * Fraction);
}

void GatewayProcess::endRequests() {
  Context.Stop.end();
  for (const auto &Weak : CallerConnections)
    if (auto Connection = Weak.lock())
      Connection->refuseUnread();
}

void GatewayProcess::exitIfDrained() {
  if (!StoppedAt)
    return;
  BootTime Now = BootClock::now();
  milliseconds SinceStop =
      std::chrono::duration_cast<milliseconds>(Now - *StoppedAt);
  if (SinceStop < std::min(AcceptPeriodAfterStop,
                           partOfGracePeriod(MaxAcceptFractionOfGracePeriod)))
    return;
  if (Acceptor.is_open()) {
    stopAccepting();
    for (const auto &Weak : CallerConnections)
      if (auto Connection = Weak.lock())
        Connection->drain();
    // What has arrived is read until the next tick.
    return;
  }
  if (SinceStop >= partOfGracePeriod(DrainFractionOfGracePeriod) &&
      !Context.Stop.isOver())
    endRequests();
  // A connection lasts until its last request has been read and answered.
  bool IsDrained =
      std::all_of(CallerConnections.begin(), CallerConnections.end(),
                  [](const auto &Weak) { return Weak.expired(); });
  if (!IsDrained && SinceStop < partOfGracePeriod(ExitFractionOfGracePeriod))
    return;
  for (const auto &Weak : CallerConnections)
    if (auto Connection = Weak.lock())
      Connection->logCutOff();
  Runtime.stop();
}

} // namespace

ExitCode runGateway(int Argc, const char **Argv) {
  auto Runtime = NodeRuntime::create(NodeKind::Gateway, Argc, Argv);
  if (!Runtime)
    return Runtime.error();
  GatewayProcess Process(**Runtime);
  // A socket or listener of this process could not be opened.
  if (!Process.start())
    NodeRuntime::exit(ExitCode::Unreachable);
  (*Runtime)->run([&] { Process.stop(); });
  NodeRuntime::exit(ExitCode::Ok);
}

} // namespace rosemarylane
