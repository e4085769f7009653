/// The `agent` subcommand: joins the parts of an agent and runs them until a
/// stop signal.

#include "Command.h"
#include "agent/Gate.h"
#include "agent/HeartbeatService.h"
#include "agent/WeightService.h"
#include "common/ConfigurationService.h"
#include "common/Messages.h"
#include "common/ProcessMetrics.h"
#include "common/ProcessStart.h"
#include "http/Server.h"
#include "telemetry/Log.h"

namespace rosemarylane {

namespace {

/// Time for entries to learn that the agent leaves, before it looks whether
/// work is left.
constexpr std::chrono::milliseconds DrainNotice{700};

/// The parts of one agent. Destroyed after the control duty has stopped.
class AgentProcess {
public:
  explicit AgentProcess(std::unique_ptr<ProcessContext> Made)
      : Context(std::move(Made)), Send(*Context, wire::ROLE_AGENT) {}

  core::Result<bool, StartError> start() {
    return runOnControl(*Context, [this] { return startParts(); });
  }

  ExitCode run() {
    return waitForStop(
        *Context, [this](auto Exit) { drain(std::move(Exit)); },
        cutOffDrain([this] { return AcceptGate->inProgress(); }));
  }

  ~AgentProcess() { stopThreads(*Context); }

private:
  core::Result<bool, StartError> startParts() {
    Configuration = ConfigurationService::create(*Context, Send,
                                                 /*MayReadStore=*/false);
    Send.setConfiguration(Configuration.get());
    Heartbeats = HeartbeatService::create(
        *Context, Send, [this] { return AcceptGate->holdings(); });
    if (Context->Config.Target.Kind == core::TargetKind::Engine)
      Weights =
          WeightService::create(*Context, Send, *Configuration, *Heartbeats);
    AcceptGate = Gate::create(*Context, Send, *Configuration, *Heartbeats,
                              Weights.get());
    if (Weights)
      Weights->onServed([this] { Heartbeats->sendNow(); });
    Configuration->onChange([this](const auto &Config) {
      telemetry::setLogRevision(Config->Revision);
      Heartbeats->sendNow();
    });
    Metrics = ProcessMetrics::create(*Context, *Configuration);
    return listen();
  }

  core::Result<bool, StartError> listen() {
    auto Listening = rosemarylane::listen(
        *Context,
        [this](const wire::Peer &From, const wire::Envelope &Message) {
          receive(From, Message);
        },
        [this](std::shared_ptr<http::Exchange> Call) { answer(*Call); });
    if (!Listening)
      return core::failure(Listening.error());
    Server = std::move(*Listening);
    return true;
  }

  void receive(const wire::Peer &From, const wire::Envelope &Message) {
    Configuration->receive(From, Message);
    switch (Message.body_case()) {
    case wire::Envelope::kRunRequest:
    case wire::Envelope::kCancelRequest:
    case wire::Envelope::kOutcomeQuery:
      AcceptGate->receive(From, Message);
      break;
    case wire::Envelope::kChunkRequest:
    case wire::Envelope::kChunkReply:
    case wire::Envelope::kHoldingsUpdate:
      if (Weights)
        Weights->receive(From, Message);
      break;
    default:
      Heartbeats->receive(From, Message);
      break;
    }
  }

  void answer(http::Exchange &Call) {
    if (respondToObservability(*Context, Call))
      return;
    constexpr unsigned NotFound = 404;
    if (Call.request().Target != "/readyz")
      return Call.respond(http::jsonResponse(NotFound, "{}"));
    Call.respond(readiness(Configuration->current()->Revision > 0));
  }

  void drain(std::function<void(ExitCode)> Exit) {
    telemetry::log(telemetry::Level::Info, "draining");
    Heartbeats->startDraining();
    DrainTimer = Context->Timers->after(
        DrainNotice, *Context->Control, [this, Exit = std::move(Exit)] {
          AcceptGate->drain([Exit] { Exit(ExitCode::Ok); });
        });
  }

  std::unique_ptr<ProcessContext> Context;
  MessageSender Send;
  std::unique_ptr<ConfigurationService> Configuration;
  std::unique_ptr<HeartbeatService> Heartbeats;
  std::unique_ptr<WeightService> Weights;
  std::unique_ptr<Gate> AcceptGate;
  std::unique_ptr<ProcessMetrics> Metrics;
  std::unique_ptr<http::Server> Server;
  runtime::TimerService::Subscription DrainTimer;
};

} // namespace

ExitCode runAgent(int Argc, const char **Argv) {
  return runProcess<AgentProcess>(ProcessKind::Agent, Argc, Argv);
}

} // namespace rosemarylane
