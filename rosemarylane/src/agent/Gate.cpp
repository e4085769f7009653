#include "agent/Gate.h"

#include "agent/GateLoad.h"
#include "agent/SilentCalls.h"
#include "agent/TargetPause.h"
#include "agent/TargetRun.h"
#include "common/AttemptIdGenerator.h"
#include "common/MemberMessages.h"
#include "common/RunMessages.h"
#include "routing/Admission.h"

#include <algorithm>
#include <map>
#include <set>

namespace rosemarylane {

namespace {

constexpr std::chrono::milliseconds QueueTick{50};
/// A plain service whose connection failed is not offered to entries for this
/// long.
constexpr std::chrono::milliseconds FailedServiceRest{1000};
constexpr char PauseDetail[] = "the target wants no requests for a while";
/// Requests that may wait at the agent: enough to keep the target busy between
/// two answers, too few to wait long.
constexpr std::size_t WaitingCapacity = 16;

core::TimePoint now() { return std::chrono::steady_clock::now(); }

class GateImpl final : public Gate {
public:
  GateImpl(ProcessContext &Context, const MessageSender &Send,
           ConfigurationService &Configuration, HeartbeatService &Heartbeats,
           WeightService *Weights)
      : Context(Context), Send(Send), Configuration(Configuration),
        Heartbeats(Heartbeats), Weights(Weights),
        Pause(Context.Config.Target.Address) {
    Silent = SilentCalls::create(Context, [this] { return calls(); });
    Tick = Context.Timers->every(QueueTick, *Context.Control,
                                 [this] { onTick(); });
    Configuration.onChange(
        [this](const std::shared_ptr<const core::Configuration> &Config) {
          applyConfiguration(*Config);
        });
    applyConfiguration(*Configuration.current());
    if (!Weights)
      return;
    Weights->onServed([this] { Admit.resetLimit(); });
    Weights->onReplace(
        [this](const core::EntryName &Entry, std::function<void()> Drained) {
          drainEntry(Entry, std::move(Drained));
        });
  }

  void receive(const wire::Peer &From, const wire::Envelope &Message) override {
    switch (Message.body_case()) {
    case wire::Envelope::kRunRequest:
      arrive(From, Message);
      break;
    case wire::Envelope::kCancelRequest:
      cancel(Message.cancel_request().id().request());
      break;
    case wire::Envelope::kOutcomeQuery:
      answerQuery(From, Message.outcome_query());
      break;
    default:
      break;
    }
  }

  std::vector<wire::Holding> holdings() const override {
    std::vector<wire::Holding> All;
    if (Weights)
      All = Weights->holdings();
    else
      All.push_back(serviceHolding());
    for (wire::Holding &H : All)
      addLoad(H);
    return All;
  }

  void drain(std::function<void()> Idle) override {
    Draining = true;
    OnIdle = std::move(Idle);
    handBackWaiting(wire::REFUSAL_OUT_OF_SERVICE, "");
    checkIdle();
  }

  std::size_t inProgress() const override { return Runs.size(); }

private:
  using Run = std::shared_ptr<TargetRun>;

  // ---- Admission ----

  void arrive(const wire::Peer &From, const wire::Envelope &Message) {
    auto R = std::make_shared<TargetRun>();
    R->From = From;
    R->Request = Message.run_request();
    R->Span = telemetry::Tracer::open(
        "agent.run",
        telemetry::TraceContext::fromHeader(Message.traceparent()));
    R->ArrivedAt = now();
    const wire::RunRequest &Request = R->Request;
    if (Request.id().request().size() != AttemptIdGenerator::Bytes)
      return refuse(*R, wire::REFUSAL_MALFORMED, wire::RAN_NO,
                    "malformed request id");
    if (Request.agent_incarnation() != Context.Incarnation)
      return refuse(*R, wire::REFUSAL_TARGET_FAILED, wire::RAN_NO,
                    "the agent has restarted");
    if (auto Known = alreadyKnown(*R))
      return refuse(*R, wire::REFUSAL_CANCELLED, *Known,
                    "the attempt was cancelled or came too late");
    if (Runs.contains(Request.id().request()))
      return;
    if (auto Reason = refusalOf(*R))
      return finishRefused(R, *Reason, wire::RAN_NO, "");
    if (Pause.left().count() > 0)
      return finishRefused(R, wire::REFUSAL_BUSY, wire::RAN_NO, PauseDetail);
    if (isSuspect(*R) && suspectRunning())
      return finishRefused(R, wire::REFUSAL_BUSY, wire::RAN_NO,
                           "another request that may kill targets is running");
    Runs.emplace(Request.id().request(), R);
    if (Waiting.size() == 0 && admitted(classOf(*R)))
      return start(R);
    auto Deadline =
        R->ArrivedAt + std::chrono::milliseconds(Request.deadline_ms());
    if (auto Refused = Waiting.push(classOf(*R), Deadline, R))
      finishRefused(*Refused, wire::REFUSAL_BUSY, wire::RAN_NO, "");
  }

  bool isSuspect(const TargetRun &R) const {
    // The entry may know before the next heartbeat tells this agent.
    if (R.Request.suspect())
      return true;
    auto Digest = core::Digest::fromBytes(R.Request.digest());
    return Digest && Heartbeats.suspected(*Digest);
  }

  /// Suspects run one at a time, so that another death tells which it was.
  bool suspectRunning() const {
    return std::any_of(Runs.begin(), Runs.end(),
                       [&](const auto &R) { return isSuspect(*R.second); });
  }

  bool admitted(core::TrafficClass Class) {
    return Pause.left().count() == 0 &&
           Admit.tryAdmit(Class) == routing::Admission::Decision::Admitted;
  }

  static core::TrafficClass classOf(const TargetRun &R) {
    auto Lowest = static_cast<std::uint32_t>(core::TrafficClass::Batch);
    return static_cast<core::TrafficClass>(
        std::min(R.Request.traffic_class(), Lowest));
  }

  void applyConfiguration(const core::Configuration &Config) {
    Admit.setCeiling(ceiling(Config));
    Admit.setOutOfService(Config.isOutOfService(Context.Config.Host,
                                                Context.Config.FailureDomain));
    if (Admit.outOfService())
      handBackWaiting(wire::REFUSAL_OUT_OF_SERVICE, "");
  }

  /// Registers the attempt.
  /// @return what is known of it if it must not be started.
  std::optional<wire::Ran> alreadyKnown(const TargetRun &R) {
    const std::string &Id = R.Request.id().request();
    core::TimePoint SentAfter = sentAfter(R.Request.agent_time_ms());
    if (Runs.contains(Id) || Table.start(Id, SentAfter, R.ArrivedAt))
      return std::nullopt;
    return toWire(Table.query(Id, SentAfter, true, R.ArrivedAt).What);
  }

  core::TimePoint sentAfter(std::uint64_t AgentTimeMs) const {
    return Context.StartedAt + std::chrono::milliseconds(AgentTimeMs);
  }

  /// Checks what does not depend on load.
  std::optional<wire::RefusalReason> refusalOf(TargetRun &R) const {
    const wire::RunRequest &Request = R.Request;
    auto Config = Configuration.current();
    if (Draining || Config->isOutOfService(Context.Config.Host,
                                           Context.Config.FailureDomain))
      return wire::REFUSAL_OUT_OF_SERVICE;
    auto Digest = core::Digest::fromBytes(Request.digest());
    if (Digest && Heartbeats.quarantined(*Digest))
      return wire::REFUSAL_QUARANTINED;
    if (!Weights) {
      if (Request.entry() != Context.Config.Target.Serves.str())
        return wire::REFUSAL_UNKNOWN_ENTRY;
      return std::nullopt;
    }
    const ServedVersion *Served = served(Request.entry());
    if (!Served)
      return wire::REFUSAL_UNKNOWN_ENTRY;
    if (Served->Version.bytes() != Request.version())
      return wire::REFUSAL_VERSION;
    R.Generation = Served->Generation;
    return std::nullopt;
  }

  const ServedVersion *served(const std::string &Entry) const {
    for (const ServedVersion &S : Weights->served())
      if (S.Entry.str() == Entry && !Replacing.contains(S.Entry))
        return &S;
    return nullptr;
  }

  std::uint32_t ceiling(const core::Configuration &Config) const {
    std::uint32_t Ceiling = 1;
    for (const core::CatalogueEntry &E : Config.Entries)
      if (mine(E))
        Ceiling = std::max(Ceiling, E.Limit.Concurrency);
    return Ceiling;
  }

  bool mine(const core::CatalogueEntry &E) const {
    if (Weights)
      return E.Kind == core::TargetKind::Engine;
    return E.Name == Context.Config.Target.Serves;
  }

  void startWaiting() {
    auto MayStart = [this](core::TrafficClass Class) {
      return admitted(Class);
    };
    while (auto Next = Waiting.pop(MayStart)) {
      auto Reason = refusalOf(**Next);
      if (!Reason) {
        start(*Next);
        continue;
      }
      Admit.finished(routing::Admission::Outcome::Abandoned, {});
      finishRefused(*Next, *Reason, wire::RAN_NO, "");
    }
  }

  /// Refuses all waiting requests, none of which can start here soon, while
  /// their entries still have time to send them elsewhere.
  void handBackWaiting(wire::RefusalReason Reason, const std::string &Detail) {
    auto Any = [](core::TrafficClass) { return true; };
    while (auto Next = Waiting.pop(Any))
      finishRefused(*Next, Reason, wire::RAN_NO, Detail);
  }

  void onTick() {
    Silent->check();
    expireWaiting();
  }

  SilentCalls::Calls calls() const {
    SilentCalls::Calls Running;
    for (const auto &[Id, R] : Runs)
      if (R->running())
        Running.push_back(R->Call);
    return Running;
  }

  void expireWaiting() {
    if (Weights)
      Admit.setCold(Weights->engineCold());
    for (const Run &R : Waiting.expire(now()))
      finishRefused(R, wire::REFUSAL_DEADLINE, wire::RAN_NO, "");
    startWaiting();
  }

  // ---- Running ----

  void start(const Run &R) {
    R->Call = TargetCall::start(
        Context, Send, R->From, R->Request, R->Span.Context.header(),
        R->Generation,
        [this, R](TargetCallEnd How) { onCallEnd(R, std::move(How)); });
  }

  void onCallEnd(const Run &R, TargetCallEnd How) {
    if (How.TargetInDoubt)
      doubtTarget();
    if (How.MayHaveDied)
      suspectDeath();
    if (How.RetryAfter && How.RetryAfter->count() > 0)
      beginPause(*How.RetryAfter);
    R->End = std::move(How);
    if (R->End.Reason != wire::REFUSAL_UNSPECIFIED)
      refuse(*R, R->End.Reason, toWire(R->End.Ran), R->End.Detail);
    end(R, R->End.Ran, R->End.Answer);
  }

  void beginPause(std::chrono::milliseconds Duration) {
    Pause.begin(Duration);
    handBackWaiting(wire::REFUSAL_BUSY, PauseDetail);
  }

  void doubtTarget() {
    ServiceFailedAt = now();
    if (Weights)
      Weights->engineChanged();
  }

  /// If the target died, the requests in progress are reported as possible
  /// causes.
  void suspectDeath() {
    if (!Weights)
      return;
    std::vector<core::Digest> Suspects;
    std::set<wire::Peer> Senders;
    for (const auto &[Id, R] : Runs)
      if (R->running()) {
        Senders.insert(R->From);
        if (auto Digest = core::Digest::fromBytes(R->Request.digest()))
          Suspects.push_back(*Digest);
      }
    wire::Envelope Message;
    *Message.mutable_quarantine_notice() =
        Heartbeats.reportSuspects(std::move(Suspects));
    for (const wire::Peer &To : Senders)
      Send.send(To, Message);
  }

  // ---- Ending ----

  void refuse(const TargetRun &R, wire::RefusalReason Reason, wire::Ran Ran,
              const std::string &Detail) {
    wire::Envelope Message;
    wire::RunRefusal &Out = *Message.mutable_run_refusal();
    *Out.mutable_id() = R.Request.id();
    Out.set_reason(Reason);
    Out.set_ran(Ran);
    Out.set_detail(Detail);
    if (Reason == wire::REFUSAL_BUSY)
      Out.set_retry_after_ms(Pause.retryAfterMs());
    Send.send(R.From, std::move(Message));
  }

  void finishRefused(const Run &R, wire::RefusalReason Reason, wire::Ran Ran,
                     const std::string &Detail) {
    refuse(*R, Reason, Ran, Detail);
    end(R, fromWire(Ran), nullptr);
  }

  void end(const Run &R, ledger::Ran What,
           std::shared_ptr<const ledger::CachedAnswer> Answer) {
    const std::string Id = R->Request.id().request();
    Runs.erase(Id);
    if (R->running())
      Admit.finished(outcomeOf(*R, What), R->End.FirstPartAfter);
    else
      Waiting.remove(R);
    Table.finish(Id, What, std::move(Answer), now());
    R->Span.Failed = What != ledger::Ran::Yes;
    Context.Tracer->close(R->Span);
    // Ends the call if it is still open.
    R->Call.reset();
    if (What == ledger::Ran::Yes)
      if (auto Digest = core::Digest::fromBytes(R->Request.digest()))
        Heartbeats.acquit(*Digest);
    startWaiting();
    reportLoad(R->From);
    checkReplacing();
    checkIdle();
  }

  static routing::Admission::Outcome outcomeOf(const TargetRun &R,
                                               ledger::Ran What) {
    if (R.Cancelled)
      return routing::Admission::Outcome::Abandoned;
    return What == ledger::Ran::Yes ? routing::Admission::Outcome::Answered
                                    : routing::Admission::Outcome::Failed;
  }

  void cancel(const std::string &Id) {
    auto Found = Runs.find(Id);
    if (Found == Runs.end())
      return;
    Run R = Found->second;
    if (!R->running())
      return finishRefused(R, wire::REFUSAL_CANCELLED, wire::RAN_NO, "");
    // A request that may not be repeated runs to its end, so that its answer is
    // known.
    if (!R->Request.idempotent())
      return;
    R->Cancelled = true;
    finishRefused(R, wire::REFUSAL_CANCELLED, wire::RAN_UNKNOWN, "");
  }

  void answerQuery(const wire::Peer &From, const wire::OutcomeQuery &Query) {
    wire::Envelope Message;
    *Message.mutable_outcome_reply() =
        outcomeReply(Query.id(), outcomeOf(Query));
    Send.send(From, std::move(Message));
  }

  ledger::AttemptOutcome outcomeOf(const wire::OutcomeQuery &Query) {
    // An attempt of this agent's predecessor is not known here.
    if (Query.agent_incarnation() != Context.Incarnation)
      return {ledger::Ran::Unknown, false, nullptr};
    if (Query.forbid())
      withdrawWaiting(Query.id().request());
    return Table.query(Query.id().request(), sentAfter(Query.agent_time_ms()),
                       Query.forbid(), now());
  }

  /// A forbidden attempt that only waits has not started.
  void withdrawWaiting(const std::string &Id) {
    auto Found = Runs.find(Id);
    if (Found != Runs.end() && !Found->second->running())
      finishRefused(Found->second, wire::REFUSAL_CANCELLED, wire::RAN_NO, "");
  }

  // ---- Draining ----

  void drainEntry(const core::EntryName &Entry, std::function<void()> Drained) {
    Replacing[Entry] = std::move(Drained);
    checkReplacing();
  }

  /// Tells the weight service of each entry that no run uses any more.
  void checkReplacing() {
    std::vector<std::function<void()>> Ready;
    std::erase_if(Replacing, [&](const auto &Item) {
      bool Used = std::any_of(Runs.begin(), Runs.end(), [&](const auto &R) {
        return R.second->running() &&
               R.second->Request.entry() == Item.first.str();
      });
      if (!Used)
        Ready.push_back(Item.second);
      return !Used;
    });
    for (const auto &Drained : Ready)
      Drained();
  }

  void checkIdle() {
    if (Draining && Runs.empty() && OnIdle)
      std::exchange(OnIdle, nullptr)();
  }

  // ---- Holdings ----

  wire::Holding serviceHolding() const {
    wire::Holding H;
    H.set_entry(Context.Config.Target.Serves.str());
    H.set_serving(now() - ServiceFailedAt > FailedServiceRest);
    return H;
  }

  void addLoad(wire::Holding &H) const {
    if (Draining || Replacing.contains(core::EntryName(H.entry())))
      H.set_serving(false);
    setLoad(load(), H);
  }

  routing::Load load() const {
    return Pause.left().count() > 0 ? loadWhilePaused(Admit)
                                    : loadOf(Admit, Waiting);
  }

  /// Tells the entry of an ended attempt the load, so that its next choice does
  /// not wait for a heartbeat.
  void reportLoad(const wire::Peer &To) {
    wire::Envelope Message;
    *Message.mutable_load_report() = loadToWire(load());
    Send.send(To, std::move(Message));
  }

  ProcessContext &Context;
  const MessageSender &Send;
  ConfigurationService &Configuration;
  HeartbeatService &Heartbeats;
  WeightService *Weights;
  runtime::TimerService::Subscription Tick;
  std::unique_ptr<SilentCalls> Silent;

  ledger::AttemptTable Table;
  /// Attempts that wait or run, by request id.
  std::map<std::string, Run> Runs;
  routing::Admission Admit{1};
  WaitingRuns Waiting{WaitingCapacity};
  /// Entries whose version is about to be replaced: they take no new work.
  std::map<core::EntryName, std::function<void()>> Replacing;
  core::TimePoint ServiceFailedAt;
  TargetPause Pause;
  bool Draining = false;
  std::function<void()> OnIdle;
};

} // namespace

std::unique_ptr<Gate> Gate::create(ProcessContext &Context,
                                   const MessageSender &Send,
                                   ConfigurationService &Configuration,
                                   HeartbeatService &Heartbeats,
                                   WeightService *Weights) {
  return std::make_unique<GateImpl>(Context, Send, Configuration, Heartbeats,
                                    Weights);
}

} // namespace rosemarylane
