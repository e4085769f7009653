#include "node/NodeRuntime.h"

#include "common/CommandLine.h"
#include "runtime/FreedMemory.h"
#include "telemetry/Log.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace rosemarylane {

namespace {

const char *nameOf(NodeKind Kind) {
  return Kind == NodeKind::Gateway ? "gateway" : "sidecar";
}

void print(const std::string &Path, const core::DocumentErrors &Errors) {
  for (const core::DocumentError &E : Errors)
    std::cerr << Path << ": " << E.Path << ": found " << E.Found
              << ", expected " << E.Expected << "\n";
}

} // namespace

struct NodeRuntime::State {
  State(NodeKind Kind, std::string Path, NodeSettings Settings)
      : Kind(Kind), Path(std::move(Path)), Settings(std::move(Settings)),
        StopSignals(Loop, SIGTERM, SIGINT), ReloadSignals(Loop, SIGHUP) {}

  NodeKind Kind;
  std::string Path;
  NodeSettings Settings;
  boost::asio::io_context Loop{1};
  boost::asio::signal_set StopSignals;
  boost::asio::signal_set ReloadSignals;
  std::function<void()> OnStop;

  void awaitStop() {
    StopSignals.async_wait([this](auto Failed, int Signal) {
      if (Failed)
        return;
      telemetry::log(telemetry::Level::Info, "stopping",
                     {{"signal", std::int64_t(Signal)}});
      OnStop();
    });
  }

  void awaitReload() {
    ReloadSignals.async_wait([this](auto Failed, int) {
      if (Failed)
        return;
      reload();
      awaitReload();
    });
  }

  /// Applies those settings that may change at run time; changes of the others
  /// need a restart.
  void reload() {
    auto Text = readFile(Path);
    if (!Text)
      return rejectReload(Text.error());
    auto Parsed = parseNodeSettings(Kind, *Text);
    if (!Parsed) {
      const core::DocumentError &First = Parsed.error().front();
      return rejectReload(First.Path + ": expected " + First.Expected);
    }
    Settings.Seeds = Parsed->Seeds;
    Settings.Objectives = Parsed->Objectives;
    telemetry::log(telemetry::Level::Info, "settings reloaded",
                   {{"seeds", std::int64_t(Settings.Seeds.size())}});
  }

  void rejectReload(const std::string &Reason) {
    telemetry::log(telemetry::Level::Error,
                   "settings not reloaded, the old ones stay",
                   {{"error", Reason}});
  }
};

core::Result<std::unique_ptr<NodeRuntime>, ExitCode>
NodeRuntime::create(NodeKind Kind, int Argc, const char **Argv) {
  auto Path = settingsPath(nameOf(Kind), Argc, Argv);
  if (!Path)
    return core::failure(Path.error());
  auto Text = readFile(*Path);
  if (!Text) {
    std::cerr << *Path << ": " << Text.error() << "\n";
    return core::failure(ExitCode::Usage);
  }
  auto Parsed = parseNodeSettings(Kind, *Text);
  if (!Parsed) {
    print(*Path, Parsed.error());
    return core::failure(ExitCode::Invalid);
  }
  std::signal(SIGPIPE, SIG_IGN);
  runtime::returnFreedMemory();
  telemetry::startLog(
      {nameOf(Kind), Parsed->Host.str(), Parsed->FailureDomain.str()},
      telemetry::parseLevel(Parsed->LogLevel),
      telemetry::LogSink::StandardOutput);
  telemetry::log(telemetry::Level::Info, "started",
                 {{"version", std::string(ROSEMARYLANE_VERSION)},
                  {"peer_port", std::int64_t(Parsed->PeerPort)}});
  for (const std::string &Name : Parsed->Defaulted)
    telemetry::log(telemetry::Level::Warning,
                   "setting absent or null, its default holds",
                   {{"setting", Name}});
  return std::unique_ptr<NodeRuntime>(
      new NodeRuntime(Kind, std::move(*Path), std::move(*Parsed)));
}

NodeRuntime::NodeRuntime(NodeKind Kind, std::string Path, NodeSettings Settings)
    : S(std::make_unique<State>(Kind, std::move(Path), std::move(Settings))) {}

NodeRuntime::~NodeRuntime() = default;

void NodeRuntime::exit(ExitCode Code) {
  telemetry::log(telemetry::Level::Info, "stopped");
  telemetry::stopLog();
  std::_Exit(static_cast<int>(Code));
}

boost::asio::io_context &NodeRuntime::loop() { return S->Loop; }
const NodeSettings &NodeRuntime::settings() const { return S->Settings; }

void NodeRuntime::run(std::function<void()> OnStop) {
  S->OnStop = std::move(OnStop);
  S->awaitStop();
  S->awaitReload();
  S->Loop.run();
}

void NodeRuntime::stop() { S->Loop.stop(); }

} // namespace rosemarylane
