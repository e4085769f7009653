/// The `entry` subcommand: creates the services of an entry process and runs
/// them until a stop signal.

#include "Command.h"
#include "common/ConfigurationService.h"
#include "common/Messages.h"
#include "common/ProcessMetrics.h"
#include "common/ProcessStart.h"
#include "entry/AdminApi.h"
#include "entry/AttemptClient.h"
#include "entry/LedgerService.h"
#include "entry/MembershipService.h"
#include "entry/Problem.h"
#include "entry/RequestHandler.h"
#include "http/Server.h"
#include "ledger/HistoryFence.h"
#include "telemetry/Log.h"

#include <atomic>

namespace rosemarylane {

namespace {

/// Time for the load balancer to notice that the entry is not ready, before its
/// connections are closed.
constexpr std::chrono::milliseconds DrainNoticePeriod{1000};
constexpr std::chrono::milliseconds BusyRetryAfter{500};

bool startsWith(const std::string &Text, std::string_view Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

/// The services of an entry process. Destroyed after the control duty has
/// stopped.
class EntryProcess {
public:
  explicit EntryProcess(std::unique_ptr<ProcessContext> NewContext)
      : Context(std::move(NewContext)), Send(*Context, wire::ROLE_ENTRY) {}

  core::Result<bool, StartError> start() {
    return runOnControl(*Context, [this] { return startServices(); });
  }

  ExitCode run() {
    return waitForStop(
        *Context, [this](auto Exit) { drain(std::move(Exit)); },
        cutOffDrain([this] { return Handler->inProgress(); }));
  }

  ~EntryProcess() { stopThreads(*Context); }

private:
  core::Result<bool, StartError> startServices() {
    Configuration = ConfigurationService::create(*Context, Send,
                                                 /*MayReadStore=*/true);
    Send.setConfiguration(Configuration.get());
    Members = MembershipService::create(*Context, Send, *Configuration);
    Ledger = LedgerService::create(*Context, Send);
    Attempts = AttemptClient::create(*Context, Send);
    Handler = RequestHandler::create(
        {*Context, *Configuration, *Members, *Ledger, *Attempts});
    Admin = AdminApi::create(
        *Context, *Configuration, [this] { return Members->status(); },
        [this](std::uint64_t Met) { return writeFence(Met); });
    Configuration->onStoreBehind([this] { Admin->writeAgain(); });
    Members->onEntries([this](auto Fleet, auto FailureDomain) {
      Handler->setLiveEntries(Fleet.size());
      Ledger->setLiveEntries(std::move(Fleet));
      Configuration->setLiveEntries(std::move(FailureDomain));
    });
    Configuration->onChange([](const auto &Config) {
      telemetry::setLogRevision(Config->Revision);
      telemetry::log(telemetry::Level::Info, "configuration in force");
    });
    Metrics = ProcessMetrics::create(*Context, *Configuration);
    return listen();
  }

  std::optional<WriteFence> writeFence(std::uint64_t Met) {
    auto History = Ledger->history(Met);
    if (!History)
      return std::nullopt;
    WriteFence Fence;
    Fence.History = History->History;
    if (!History->Fence.empty())
      Fence.Key = ledger::HistoryFenceKey;
    Fence.Value = History->Fence;
    return Fence;
  }

  core::Result<bool, StartError> listen() {
    auto Listening = rosemarylane::listen(
        *Context,
        [this](const wire::Peer &From, const wire::Envelope &Message) {
          receive(From, Message);
        },
        [this](std::shared_ptr<http::Exchange> Call) {
          handleHttp(std::move(Call));
        });
    if (!Listening)
      return core::failure(Listening.error());
    Server = std::move(*Listening);
    return true;
  }

  void receive(const wire::Peer &From, const wire::Envelope &Message) {
    Configuration->receive(From, Message);
    switch (Message.body_case()) {
    case wire::Envelope::kRunHead:
    case wire::Envelope::kRunPart:
    case wire::Envelope::kRunEnd:
    case wire::Envelope::kRunRefusal:
    case wire::Envelope::kOutcomeReply:
      Attempts->receive(From, Message);
      break;
    case wire::Envelope::kLedgerRequest:
    case wire::Envelope::kLedgerReply:
      Ledger->receive(From, Message);
      break;
    default:
      Members->receive(From, Message);
      break;
    }
  }

  /// Handles an HTTP request. Runs on the serving duty.
  void handleHttp(std::shared_ptr<http::Exchange> Call) {
    const std::string &Path = Call->request().Target;
    if (respondToObservability(*Context, *Call))
      return;
    if (Path == "/readyz")
      return Call->respond(
          readiness(!Draining && Configuration->current()->Revision > 0));
    bool Posted = Context->Control->post([this, Call] {
      if (startsWith(Call->request().Target, "/admin/v1"))
        Admin->handle(Call);
      else
        Handler->handle(Call);
    });
    if (!Posted)
      Call->respond(problemResponse(
          {ProblemKind::Overloaded, ledger::Ran::No, "", BusyRetryAfter}));
  }

  void drain(std::function<void(ExitCode)> Exit) {
    telemetry::log(telemetry::Level::Info, "draining");
    Draining = true;
    Members->startDraining();
    DrainTimer = Context->Timers->after(DrainNoticePeriod, *Context->Control,
                                        [this, Exit = std::move(Exit)] {
                                          Server->drain();
                                          awaitIdle(Exit);
                                        });
  }

  /// Exits once no request is in progress and all answers have been sent.
  void awaitIdle(std::function<void(ExitCode)> Exit) {
    constexpr std::chrono::milliseconds IdleCheckInterval{50};
    if (Handler->inProgress() == 0 && Server->inProgress() == 0)
      return Exit(ExitCode::Ok);
    DrainTimer = Context->Timers->after(
        IdleCheckInterval, *Context->Control,
        [this, Exit = std::move(Exit)] { awaitIdle(Exit); });
  }

  std::unique_ptr<ProcessContext> Context;
  MessageSender Send;
  std::unique_ptr<ConfigurationService> Configuration;
  std::unique_ptr<MembershipService> Members;
  std::unique_ptr<LedgerService> Ledger;
  std::unique_ptr<AttemptClient> Attempts;
  std::unique_ptr<RequestHandler> Handler;
  std::unique_ptr<AdminApi> Admin;
  std::unique_ptr<ProcessMetrics> Metrics;
  std::unique_ptr<http::Server> Server;
  std::atomic<bool> Draining{false};
  runtime::TimerService::Subscription DrainTimer;
};

} // namespace

ExitCode runEntry(int Argc, const char **Argv) {
  return runProcess<EntryProcess>(ProcessKind::Entry, Argc, Argv);
}

} // namespace rosemarylane
