#include "entry/RequestHandler.h"

#include "entry/ClaimResolver.h"
#include "entry/PendingRequest.h"
#include "entry/Problem.h"
#include "routing/OverloadControl.h"
#include "routing/RequestQueue.h"
#include "routing/RetryBudget.h"

#include <prometheus/counter.h>

namespace rosemarylane {

namespace {

/// Time for which a call that may not be repeated waits for another attempt
/// that holds its key.
constexpr std::chrono::seconds MaxHolderWait{60};
/// Time for which a request may wait for a target, in this process and at the
/// agent, before it is refused.
constexpr std::chrono::milliseconds MaxTargetWait{1000};
constexpr std::chrono::milliseconds QueueTickInterval{25};
constexpr std::chrono::milliseconds BusyRetryAfter{500};
/// Number of attempts after which a request that targets fail is given up.
constexpr std::uint32_t MaxAttempts = 4;

core::TimePoint now() { return std::chrono::steady_clock::now(); }

using RequestPtr = std::shared_ptr<PendingRequest>;

class RequestHandlerImpl final : public RequestHandler {
public:
  explicit RequestHandlerImpl(Dependencies Services)
      : Services(Services),
        Claims(ClaimResolver::create(Services.Context, Services.Ledger,
                                     Services.Attempts)),
        Outcomes(prometheus::BuildCounter()
                     .Name("rosemarylane_requests_total")
                     .Help("Callers' requests by outcome")
                     .Register(*Services.Context.Metrics)),
        AttemptCounts(prometheus::BuildCounter()
                          .Name("rosemarylane_attempts_total")
                          .Help("Attempts sent to targets, by whether they "
                                "repeat an earlier one")
                          .Register(*Services.Context.Metrics)) {
    Tick = Services.Context.Timers->every(
        QueueTickInterval, *Services.Context.Control, [this] { onTick(); });
  }

  void handle(std::shared_ptr<http::Exchange> Call) override {
    auto Parsed = parseCallerRequest(Call->request());
    if (!Parsed)
      return refuse(*Call, Parsed.error());
    auto Checked = checkRequest(*Services.Configuration.current(), *Parsed);
    if (!Checked)
      return refuse(*Call, Checked.error());
    if (Services.Members.quarantined(Parsed->Digest))
      return refuse(*Call, {ProblemKind::Quarantined, ledger::Ran::No, "", {}});
    auto Refused = Overload.tryAdmit(Checked->Workspace, Checked->Entry,
                                     LiveEntries, now());
    if (Refused)
      return refuse(*Call, {ProblemKind::Overloaded, ledger::Ran::No, "",
                            Refused->RetryAfter});
    auto R = std::make_shared<PendingRequest>();
    R->Call = std::move(Call);
    R->Parsed = std::move(*Parsed);
    R->Checked = std::move(*Checked);
    R->ArrivedAt = now();
    openSpan(*R);
    R->Call->onGone([this, Weak = std::weak_ptr(R)] {
      Services.Context.Control->postAlways([this, Weak] {
        if (auto Gone = Weak.lock())
          onCallerDisconnected(Gone);
      });
    });
    Retries.recordFirstAttempt();
    dispatch(R);
  }

  void setLiveEntries(std::size_t Count) override {
    LiveEntries = std::max<std::size_t>(Count, 1);
  }

  void whenIdle(std::function<void()> Idle) override {
    OnIdle = std::move(Idle);
    checkIdle();
  }

  std::size_t inProgress() const override { return Overload.inProgress(); }

private:
  void openSpan(PendingRequest &R) {
    auto Header = R.Call->request().Fields.find("traceparent");
    R.Span = telemetry::Tracer::open(
        "entry.request",
        telemetry::TraceContext::fromHeader(Header.value_or("")));
    R.Span.Attributes.emplace_back("entry", R.entry().Name.str());
    R.Span.Attributes.emplace_back("workspace", R.Checked.Workspace.Name.str());
  }

  // ---- Dispatch ----

  /// Sends the next attempt, or queues the request until a target is available.
  void dispatch(const RequestPtr &R) {
    if (R->Ended)
      return;
    if (!Queue.mustWait(R->entry(), R->entry().Class) && tryDispatch(R))
      return Queue.recordImmediateStart(R->entry(), now());
    auto Refused = Queue.push(R->entry(), R->entry().Class,
                              R->ArrivedAt + MaxTargetWait, R, now());
    refuseAll(Refused);
  }

  void onTick() {
    Queue.dispatch(now(),
                   [this](const RequestPtr &R) { return tryDispatch(R); });
    refuseAll(Queue.expire(now()));
  }

  void refuseAll(
      const std::vector<routing::RequestQueue<RequestPtr>::Refusal> &Refused) {
    for (const auto &Refusal : Refused)
      endWithProblem(Refusal.Request,
                     {ProblemKind::NoTarget, Refusal.Request->ranSoFar(),
                      Refusal.Request->LastRefusal, Refusal.RetryAfter});
  }

  /// @return false if no target is available now.
  bool tryDispatch(const RequestPtr &R) {
    if (R->Ended)
      return true;
    auto Target = Services.Members.choose({R->entry().Name,
                                           R->Parsed.PrefixHash, R->Excluded,
                                           R->entry().Class, R->Parsed.Digest});
    if (!Target && !R->Excluded.empty()) {
      // Each target has refused once. Their load may have changed since, so all
      // are candidates again.
      R->Excluded.clear();
      return false;
    }
    if (!Target)
      return false;
    R->Target = std::move(Target);
    R->RequestId = Services.Attempts.newRequestId();
    ++R->Attempt;
    if (R->repeatable())
      sendAttempt(R);
    else
      Claims->resolve(R->ledgerKey(), R->claim(), now() + MaxHolderWait,
                      [this, R](ClaimResolver::Resolution ClaimResult) {
                        onResolved(R, std::move(ClaimResult));
                      });
    return true;
  }

  void sendAttempt(const RequestPtr &R) {
    R->AttemptStartedAt = now();
    R->Attempting = true;
    R->FirstPartAt.reset();
    R->Answer = {};
    AttemptCounts.Add({{"retry", R->Attempt > 1 ? "true" : "false"}})
        .Increment();
    AttemptTarget Target{R->Target->AgentAddress, R->Target->AgentIncarnation,
                         R->Target->AgentTime};
    AttemptClient::Hooks Hooks;
    Hooks.OnHead = [R](http::ResponseHead Head) {
      R->Answer.Head = std::move(Head);
    };
    Hooks.OnPart = [this, R](std::string Part) { onPart(R, std::move(Part)); };
    Hooks.OnEnd = [this, R](AttemptCompletion End) { onAttemptEnd(R, End); };
    auto RemainingWait = std::chrono::duration_cast<std::chrono::milliseconds>(
        R->ArrivedAt + MaxTargetWait - now());
    Services.Attempts.start(Target, R->runRequest(RemainingWait),
                            std::move(Hooks));
  }

  // ---- The answer ----

  void onPart(const RequestPtr &R, std::string Part) {
    if (!R->FirstPartAt)
      R->FirstPartAt = now();
    // The answer of a call that may not be repeated is also recorded in the
    // ledger.
    if (!R->Parsed.Stream || !R->repeatable())
      R->Answer.Body += Part;
    if (!R->Parsed.Stream || R->Ended)
      return;
    if (!R->StreamStarted) {
      R->StreamStarted = true;
      R->Call->startStream(R->Answer.Head);
    }
    R->Call->write(std::move(Part));
  }

  void onAttemptEnd(const RequestPtr &R, const AttemptCompletion &End) {
    R->Attempting = false;
    reportToMembership(*R, End);
    if (R->repeatable())
      return finishOrRetry(R, End, /*MayRunAgain=*/true);
    AttemptResult Result;
    if (End.Type == AttemptCompletion::Kind::Complete)
      Result = {AttemptResult::Kind::Answered, R->Answer};
    else if (End.Ran == ledger::Ran::No)
      Result.Type = AttemptResult::Kind::NotRun;
    if (Result.Type != AttemptResult::Kind::NotRun) {
      // The caller does not wait for the record, because the store may be down.
      // Until it is written, the agent tells the outcome.
      Services.Ledger.record(R->ledgerKey(), R->claim(), std::move(Result),
                             [](bool) {});
      return finishOrRetry(R, End, /*MayRunAgain=*/false);
    }
    // The next attempt claims the key again. If this claim was not released, or
    // another process has claimed the key first, the ledger reports it then.
    Services.Ledger.record(
        R->ledgerKey(), R->claim(), Result,
        [this, R, End](bool) { finishOrRetry(R, End, /*MayRunAgain=*/true); });
  }

  /// Answers the caller, or sends another attempt.
  void finishOrRetry(const RequestPtr &R, const AttemptCompletion &End,
                     bool MayRunAgain) {
    if (R->Ended)
      return;
    if (End.Type == AttemptCompletion::Kind::Complete)
      return endAnswered(R);
    if (R->StreamStarted)
      return abortStream(R);
    R->MayHaveRun = R->MayHaveRun || End.Ran != ledger::Ran::No;
    if (End.Reason == wire::REFUSAL_QUARANTINED ||
        Services.Members.quarantined(R->Parsed.Digest))
      return refuseQuarantined(R);
    R->Excluded.insert(R->Target->Agent);
    R->LastRefusal = End.Detail;
    if (MayRunAgain && mayRetry(*R, End) && Retries.tryRetry())
      return dispatch(R);
    endWithProblem(R, problemFor(*R, End));
  }

  /// Refuses the request after a delay. The caller may send it again through
  /// another entry at once, which must have received the quarantine notice by
  /// then.
  void refuseQuarantined(const RequestPtr &R) {
    constexpr std::chrono::milliseconds NoticeDelay{100};
    R->AnswerDelay = Services.Context.Timers->after(
        NoticeDelay, *Services.Context.Control, [this, R] {
          endWithProblem(R, {ProblemKind::Quarantined, R->ranSoFar(), "", {}});
        });
  }

  /// An attempt that did not run used no capacity of its target, so it is
  /// limited by the waiting time and not by the number of attempts.
  bool mayRetry(const PendingRequest &R, const AttemptCompletion &End) const {
    if (End.Ran == ledger::Ran::No)
      return now() - R.ArrivedAt < MaxTargetWait;
    return R.Attempt < MaxAttempts;
  }

  Problem problemFor(const PendingRequest &R,
                     const AttemptCompletion &End) const {
    if (!R.MayHaveRun)
      return {ProblemKind::NoTarget, ledger::Ran::No, End.Detail,
              BusyRetryAfter};
    if (R.repeatable())
      return {ProblemKind::TargetFailed, ledger::Ran::Unknown, End.Detail,
              BusyRetryAfter};
    if (End.Ran == ledger::Ran::Yes)
      return {ProblemKind::AnswerGone, End.Ran, End.Detail, {}};
    return {ProblemKind::OutcomeUnknown, ledger::Ran::Unknown, End.Detail, {}};
  }

  void reportToMembership(const PendingRequest &R,
                          const AttemptCompletion &End) {
    MembershipService::AttemptReport Report;
    Report.Reason = End.Reason;
    if (End.Type == AttemptCompletion::Kind::Refused)
      Report.Type = MembershipService::AttemptReport::Kind::Refused;
    if (End.Type == AttemptCompletion::Kind::Lost)
      Report.Type = MembershipService::AttemptReport::Kind::Lost;
    if (R.FirstPartAt)
      Report.TimeToFirstByte = *R.FirstPartAt - R.AttemptStartedAt;
    Services.Members.finished(R.Target->Agent, Report);
  }

  // ---- Calls that may not be repeated ----

  void onResolved(const RequestPtr &R, ClaimResolver::Resolution ClaimResult) {
    auto *Refusal = std::get_if<Problem>(&ClaimResult);
    R->KeyChecked = !Refusal || Refusal->Kind != ProblemKind::LedgerUnavailable;
    if (std::holds_alternative<ClaimResolver::Claimed>(ClaimResult)) {
      if (!R->Ended)
        return sendAttempt(R);
      // The caller disconnected before the attempt was sent.
      AttemptResult NotRun{AttemptResult::Kind::NotRun, std::nullopt};
      Services.Ledger.record(R->ledgerKey(), R->claim(), NotRun, [](bool) {});
    }
    Services.Members.finished(R->Target->Agent, {});
    if (Refusal)
      return endWithProblem(R, *Refusal);
    if (auto *Answer = std::get_if<http::Response>(&ClaimResult)) {
      R->Answer = std::move(*Answer);
      endAnswered(R);
    }
  }

  // ---- Ending ----

  void onCallerDisconnected(const RequestPtr &R) {
    if (R->Ended)
      return;
    // A call that may not be repeated continues, so that its answer is
    // recorded.
    if (R->repeatable() && R->Attempting) {
      Services.Attempts.abandon(R->RequestId);
      Services.Members.finished(R->Target->Agent, {});
    }
    Queue.remove(R);
    recordEnd(R, "caller_gone", /*Failed=*/true);
  }

  void endAnswered(const RequestPtr &R) {
    if (R->Ended)
      return;
    if (R->StreamStarted)
      R->Call->finish();
    else
      R->Call->respond(std::move(R->Answer));
    recordEnd(R, "answered", /*Failed=*/false);
  }

  /// Part of the answer has been sent, so the connection is closed to show the
  /// caller that the answer is incomplete.
  void abortStream(const RequestPtr &R) {
    R->Call->abort();
    recordEnd(R, "broken", /*Failed=*/true);
  }

  void endWithProblem(const RequestPtr &R, const Problem &P) {
    if (R->Ended)
      return;
    Problem Reported = P;
    Reported.KeyUnchecked = !R->repeatable() && !R->KeyChecked;
    R->Call->respond(problemResponse(Reported));
    recordEnd(R, nameOf(P.Kind), /*Failed=*/true);
  }

  /// Refuses a request before any attempt.
  void refuse(http::Exchange &Call, const Problem &P) {
    count(nameOf(P.Kind));
    Call.respond(problemResponse(P));
  }

  void recordEnd(const RequestPtr &R, const char *Outcome, bool Failed) {
    R->Ended = true;
    count(Outcome);
    R->Span.Failed = Failed;
    Services.Context.Tracer->close(R->Span);
    Overload.finished(R->Checked.Workspace.Name);
    checkIdle();
  }

  void checkIdle() {
    if (inProgress() == 0 && OnIdle)
      std::exchange(OnIdle, nullptr)();
  }

  void count(const char *Outcome) {
    Outcomes.Add({{"outcome", Outcome}}).Increment();
  }

  Dependencies Services;
  std::unique_ptr<ClaimResolver> Claims;
  prometheus::Family<prometheus::Counter> &Outcomes;
  prometheus::Family<prometheus::Counter> &AttemptCounts;
  runtime::TimerService::Subscription Tick;
  routing::OverloadControl Overload;
  routing::RetryBudget Retries;
  routing::RequestQueue<RequestPtr> Queue;
  std::size_t LiveEntries = 1;
  std::function<void()> OnIdle;
};

} // namespace

std::unique_ptr<RequestHandler> RequestHandler::create(Dependencies Services) {
  return std::make_unique<RequestHandlerImpl>(Services);
}

} // namespace rosemarylane
