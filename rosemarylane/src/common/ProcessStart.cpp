#include "common/ProcessStart.h"

#include "common/CommandLine.h"
#include "http/ConnectionShares.h"
#include "runtime/FreedMemory.h"
#include "store/EtcdKeyValue.h"
#include "telemetry/Log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <future>
#include <iostream>
#include <prometheus/text_serializer.h>
#include <sstream>

namespace rosemarylane {

namespace {

/// Numbers of tasks that may wait for a thread. `runtime::Duty::post` rejects
/// further ones; `postAlways` ignores the limit.
constexpr std::size_t ControlQueueCapacity = 65536;
constexpr std::size_t HttpQueueCapacity = 16384;

const char *nameOf(ProcessKind Kind) {
  return Kind == ProcessKind::Entry ? "entry" : "agent";
}

std::uint64_t wallClockMilliseconds() {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch)
      .count();
}

void logUncaughtException(const std::string &What) {
  telemetry::log(telemetry::Level::Error, "uncaught exception in a task",
                 {{"what", What}});
}

core::Result<Settings, ExitCode> readSettings(ProcessKind Kind,
                                              const std::string &Path) {
  std::ifstream File(Path);
  if (!File) {
    std::cerr << Path << ": settings file cannot be read\n";
    return core::failure(ExitCode::Usage);
  }
  std::stringstream Text;
  Text << File.rdbuf();
  auto Parsed = parseSettings(Kind, Text.str());
  if (Parsed)
    return std::move(*Parsed);
  for (const core::DocumentError &E : Parsed.error())
    std::cerr << Path << ": " << E.Path << ": found " << E.Found
              << ", expected " << E.Expected << "\n";
  return core::failure(ExitCode::Invalid);
}

} // namespace

ExitCode reportFailedStart(ProcessKind Kind, const StartError &Error) {
  std::cerr << "rosemarylane " << nameOf(Kind) << ": " << Error.Detail << "\n";
  return Error.Code;
}

StopHook cutOffDrain(std::function<std::size_t()> InProgress) {
  return [InProgress = std::move(InProgress)](const auto &Exit) {
    telemetry::log(telemetry::Level::Warning,
                   "stopped before the drain had ended",
                   {{"cut_off", static_cast<std::int64_t>(InProgress())}});
    Exit(ExitCode::Failed);
  };
}

core::Result<Settings, ExitCode>
settingsFromCommandLine(ProcessKind Kind, int Argc, const char **Argv) {
  auto Path = settingsPath(nameOf(Kind), Argc, Argv);
  if (!Path)
    return core::failure(Path.error());
  return readSettings(Kind, *Path);
}

std::unique_ptr<ProcessContext> startContext(ProcessKind Kind,
                                             Settings Config) {
  telemetry::startLog(
      {nameOf(Kind), Config.Host.str(), Config.FailureDomain.str()},
      telemetry::parseLevel(Config.LogLevel));
  runtime::returnFreedMemory();
  auto Context = std::make_unique<ProcessContext>();
  Context->Config = std::move(Config);
  Context->Incarnation = wallClockMilliseconds();
  Context->StartedAt = std::chrono::steady_clock::now();
  Context->Timers = runtime::TimerService::start();
  Context->Control = runtime::Duty::start("control", ControlQueueCapacity,
                                          logUncaughtException);
  Context->HttpServing = runtime::Duty::start("http-serving", HttpQueueCapacity,
                                              logUncaughtException);
  Context->HttpCalling = runtime::Duty::start("http-calling", HttpQueueCapacity,
                                              logUncaughtException);
  Context->Tracer = telemetry::Tracer::start(
      nameOf(Kind), Context->Config.Host.str(),
      telemetry::exportToFile(Context->Config.TraceFile));
  Context->Metrics = std::make_shared<prometheus::Registry>();
  Context->Http = http::Client::create(*Context->HttpCalling);
  const PlatformSettings &Platform = Context->Config.Platform;
  store::EtcdSettings Store;
  Store.Address = Platform.KeyValue;
  Context->Store = store::createEtcdKeyValue(*Context->HttpCalling,
                                             *Context->Control, Store);
  Context->Hosts = store::HostList::create(
      *Context->HttpCalling, *Context->Control, Platform.HostList);
  Context->Origin = store::Origin::create(*Context->HttpCalling,
                                          *Context->Control, Platform.Origin);
  return Context;
}

core::Result<bool, StartError>
runOnControl(ProcessContext &Context,
             std::function<core::Result<bool, StartError>()> Start) {
  std::promise<core::Result<bool, StartError>> Started;
  Context.Control->postAlways([&] { Started.set_value(Start()); });
  return Started.get_future().get();
}

core::Result<std::unique_ptr<http::Server>, StartError>
listen(ProcessContext &Context, wire::PeerNode::MessageHook OnMessage,
       http::Server::Handler OnRequest) {
  wire::PeerSettings Peers;
  Peers.Listen = Context.Config.PeerAddress;
  auto Node = wire::PeerNode::start(std::move(Peers), *Context.Control,
                                    std::move(OnMessage));
  if (!Node)
    return core::failure(StartError{ExitCode::Failed, Node.error().Detail});
  Context.Peers = std::move(*Node);
  http::ServerSettings Serving;
  Serving.Address = Context.Config.HttpAddress;
  Serving.MaxConnections =
      http::ConnectionShares::of(http::processDescriptorLimit()).Callers;
  auto Server =
      http::Server::listen(*Context.HttpServing, Serving, std::move(OnRequest));
  if (!Server)
    return core::failure(StartError{ExitCode::Failed, Server.error().Detail});
  return std::move(*Server);
}

void stopThreads(ProcessContext &Context) {
  Context.Timers->stop();
  Context.Control->stop();
  Context.HttpServing->stop();
  Context.HttpCalling->stop();
}

http::Response readiness(bool Ready) {
  constexpr unsigned Ok = 200;
  constexpr unsigned ServiceUnavailable = 503;
  return http::jsonResponse(Ready ? Ok : ServiceUnavailable,
                            Ready ? R"({"status":"ready"})"
                                  : R"({"status":"not ready"})");
}

ExitCode waitForStop(ProcessContext &Context, StopHook OnFirst,
                     StopHook OnSecond) {
  std::promise<ExitCode> Ended;
  auto Once = std::make_shared<std::once_flag>();
  auto Exit = [&Ended, Once](ExitCode Code) {
    std::call_once(*Once, [&] { Ended.set_value(Code); });
  };
  boost::asio::signal_set Signals(Context.Control->context(), SIGTERM, SIGINT);
  bool First = true;
  std::function<void()> Wait = [&] {
    Signals.async_wait([&](const auto &Error, int) {
      if (Error)
        return;
      (First ? OnFirst : OnSecond)(Exit);
      First = false;
      Wait();
    });
  };
  Context.Control->postAlways(Wait);
  ExitCode Code = Ended.get_future().get();
  Context.Control->stop();
  return Code;
}

bool respondToObservability(ProcessContext &Context, http::Exchange &Call) {
  const std::string &Path = Call.request().Target;
  if (Path == "/healthz") {
    Call.respond(http::jsonResponse(200, R"({"status":"alive"})"));
    return true;
  }
  if (Path == "/metrics") {
    http::Response Answer;
    Answer.Head.Fields.set("Content-Type", "text/plain; version=0.0.4");
    Answer.Body =
        prometheus::TextSerializer().Serialize(Context.Metrics->Collect());
    Call.respond(std::move(Answer));
    return true;
  }
  return false;
}

} // namespace rosemarylane
