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
constexpr std::chrono::seconds HolderWait{60};
/// Time for which a request may wait for a target, in this process and at the
/// agent, before it is refused.
constexpr std::chrono::milliseconds TargetWait{1000};
constexpr std::chrono::milliseconds WaitTick{25};
constexpr std::chrono::milliseconds RetryAfterBusy{500};
/// Number of attempts after which a request that targets fail is given up.
constexpr std::uint32_t MaxAttempts = 4;

core::TimePoint now() { return std::chrono::steady_clock::now(); }

using Pending = std::shared_ptr<PendingRequest>;

class RequestHandlerImpl final : public RequestHandler {
public:
  explicit RequestHandlerImpl(Parts With)
      : With(With),
        Claims(ClaimResolver::create(With.Context, With.Ledger, With.Attempts)),
        Outcomes(prometheus::BuildCounter()
                     .Name("rosemarylane_requests_total")
                     .Help("Callers' requests by outcome")
                     .Register(*With.Context.Metrics)),
        AttemptCounts(prometheus::BuildCounter()
                          .Name("rosemarylane_attempts_total")
                          .Help("Attempts sent to targets, by whether they "
                                "repeat an earlier one")
                          .Register(*With.Context.Metrics)) {
    Tick = With.Context.Timers->every(WaitTick, *With.Context.Control,
                                      [this] { onTick(); });
  }

  void handle(std::shared_ptr<http::Exchange> Call) override {
    auto Parsed = parseCallerRequest(Call->request());
    if (!Parsed)
      return answerProblem(*Call, Parsed.error());
    auto Checked = checkRequest(*With.Configuration.current(), *Parsed);
    if (!Checked)
      return answerProblem(*Call, Checked.error());
    if (With.Members.quarantined(Parsed->Digest))
      return answerProblem(*Call,
                           {ProblemKind::Quarantined, ledger::Ran::No, "", {}});
    auto Refused = Overload.tryAdmit(Checked->Workspace, Checked->Entry,
                                     LiveEntries, now());
    if (Refused)
      return answerProblem(*Call, {ProblemKind::Overloaded, ledger::Ran::No, "",
                                   Refused->RetryAfter});
    auto R = std::make_shared<PendingRequest>();
    R->Call = std::move(Call);
    R->Parsed = std::move(*Parsed);
    R->Checked = std::move(*Checked);
    R->ArrivedAt = now();
    openSpan(*R);
    R->Call->onGone([this, Weak = std::weak_ptr(R)] {
      With.Context.Control->postAlways([this, Weak] {
        if (auto Gone = Weak.lock())
          callerGone(Gone);
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
  void dispatch(const Pending &R) {
    if (R->Ended)
      return;
    if (!Waiting.mustWait(R->entry(), R->entry().Class) && tryDispatch(R))
      return Waiting.recordImmediateStart(R->entry(), now());
    auto Refused = Waiting.push(R->entry(), R->entry().Class,
                                R->ArrivedAt + TargetWait, R, now());
    refuseAll(Refused);
  }

  void onTick() {
    Waiting.dispatch(now(),
                     [this](const Pending &R) { return tryDispatch(R); });
    refuseAll(Waiting.expire(now()));
  }

  void refuseAll(
      const std::vector<routing::RequestQueue<Pending>::Refusal> &Refused) {
    for (const auto &Refusal : Refused)
      end(Refusal.Request, {ProblemKind::NoTarget, Refusal.Request->ranSoFar(),
                            Refusal.Request->LastRefusal, Refusal.RetryAfter});
  }

  /// @return false if no target is available now.
  bool tryDispatch(const Pending &R) {
    if (R->Ended)
      return true;
    auto Target =
        With.Members.choose({R->entry().Name, R->Parsed.PrefixHash, R->Excluded,
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
    R->RequestId = With.Attempts.newRequestId();
    ++R->Attempt;
    if (R->repeatable())
      sendAttempt(R);
    else
      Claims->resolve(R->ledgerKey(), R->claim(), now() + HolderWait,
                      [this, R](ClaimResolver::Resolution How) {
                        onResolved(R, std::move(How));
                      });
    return true;
  }

  void sendAttempt(const Pending &R) {
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
    Hooks.OnEnd = [this, R](AttemptEnd End) { onAttemptEnd(R, End); };
    auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
        R->ArrivedAt + TargetWait - now());
    With.Attempts.start(Target, R->runRequest(Left), std::move(Hooks));
  }

  // ---- The answer ----

  void onPart(const Pending &R, std::string Part) {
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

  void onAttemptEnd(const Pending &R, const AttemptEnd &End) {
    R->Attempting = false;
    tellMembers(*R, End);
    if (R->repeatable())
      return settle(R, End, /*MayRunAgain=*/true);
    AttemptResult Result;
    if (End.What == AttemptEnd::Kind::Whole)
      Result = {AttemptResult::Kind::Answered, R->Answer};
    else if (End.Ran == ledger::Ran::No)
      Result.What = AttemptResult::Kind::NotRun;
    if (Result.What != AttemptResult::Kind::NotRun) {
      // The caller does not wait for the record, because the store may be down.
      // Until it is written, the agent tells the outcome.
      With.Ledger.record(R->ledgerKey(), R->claim(), std::move(Result),
                         [](bool) {});
      return settle(R, End, /*MayRunAgain=*/false);
    }
    // The next attempt claims the key again. If this claim was not released, or
    // another process has claimed the key first, the ledger reports it then.
    With.Ledger.record(
        R->ledgerKey(), R->claim(), Result,
        [this, R, End](bool) { settle(R, End, /*MayRunAgain=*/true); });
  }

  /// Answers the caller, or sends another attempt.
  void settle(const Pending &R, const AttemptEnd &End, bool MayRunAgain) {
    if (R->Ended)
      return;
    if (End.What == AttemptEnd::Kind::Whole)
      return endWhole(R);
    if (R->StreamStarted)
      return endBroken(R);
    R->MayHaveRun = R->MayHaveRun || End.Ran != ledger::Ran::No;
    if (End.Reason == wire::REFUSAL_QUARANTINED ||
        With.Members.quarantined(R->Parsed.Digest))
      return endQuarantined(R);
    R->Excluded.insert(R->Target->Agent);
    R->LastRefusal = End.Detail;
    if (MayRunAgain && inTime(*R, End) && Retries.tryRetry())
      return dispatch(R);
    end(R, problemOf(*R, End));
  }

  /// Refuses the request after a delay. The caller may send it again through
  /// another entry at once, which must have received the quarantine notice by
  /// then.
  void endQuarantined(const Pending &R) {
    constexpr std::chrono::milliseconds NoticeTime{100};
    R->AnswerDelay = With.Context.Timers->after(
        NoticeTime, *With.Context.Control, [this, R] {
          end(R, {ProblemKind::Quarantined, R->ranSoFar(), "", {}});
        });
  }

  /// An attempt that did not run used no capacity of its target, so it is
  /// limited by the waiting time and not by the number of attempts.
  bool inTime(const PendingRequest &R, const AttemptEnd &End) const {
    if (End.Ran == ledger::Ran::No)
      return now() - R.ArrivedAt < TargetWait;
    return R.Attempt < MaxAttempts;
  }

  Problem problemOf(const PendingRequest &R, const AttemptEnd &End) const {
    if (!R.MayHaveRun)
      return {ProblemKind::NoTarget, ledger::Ran::No, End.Detail,
              RetryAfterBusy};
    if (R.repeatable())
      return {ProblemKind::TargetFailed, ledger::Ran::Unknown, End.Detail,
              RetryAfterBusy};
    if (End.Ran == ledger::Ran::Yes)
      return {ProblemKind::AnswerGone, End.Ran, End.Detail, {}};
    return {ProblemKind::OutcomeUnknown, ledger::Ran::Unknown, End.Detail, {}};
  }

  void tellMembers(const PendingRequest &R, const AttemptEnd &End) {
    MembershipService::Finish Report;
    Report.Reason = End.Reason;
    if (End.What == AttemptEnd::Kind::Refused)
      Report.What = MembershipService::Finish::Kind::Refused;
    if (End.What == AttemptEnd::Kind::Lost)
      Report.What = MembershipService::Finish::Kind::Lost;
    if (R.FirstPartAt)
      Report.TimeToFirstByte = *R.FirstPartAt - R.AttemptStartedAt;
    With.Members.finished(R.Target->Agent, Report);
  }

  // ---- Calls that may not be repeated ----

  void onResolved(const Pending &R, ClaimResolver::Resolution How) {
    auto *Refusal = std::get_if<Problem>(&How);
    R->KeyChecked = !Refusal || Refusal->Kind != ProblemKind::LedgerUnavailable;
    if (std::holds_alternative<ClaimResolver::Claimed>(How)) {
      if (!R->Ended)
        return sendAttempt(R);
      // The caller disconnected before the attempt was sent.
      AttemptResult NotRun{AttemptResult::Kind::NotRun, std::nullopt};
      With.Ledger.record(R->ledgerKey(), R->claim(), NotRun, [](bool) {});
    }
    With.Members.finished(R->Target->Agent, {});
    if (Refusal)
      return end(R, *Refusal);
    if (auto *Answer = std::get_if<http::Response>(&How)) {
      R->Answer = std::move(*Answer);
      endWhole(R);
    }
  }

  // ---- Ending ----

  void callerGone(const Pending &R) {
    if (R->Ended)
      return;
    // A call that may not be repeated continues, so that its answer is
    // recorded.
    if (R->repeatable() && R->Attempting) {
      With.Attempts.abandon(R->RequestId);
      With.Members.finished(R->Target->Agent, {});
    }
    Waiting.remove(R);
    ended(R, "caller_gone", /*Failed=*/true);
  }

  void endWhole(const Pending &R) {
    if (R->Ended)
      return;
    if (R->StreamStarted)
      R->Call->finish();
    else
      R->Call->respond(std::move(R->Answer));
    ended(R, "answered", /*Failed=*/false);
  }

  /// Part of the answer has been sent, so the connection is closed to show the
  /// caller that the answer is incomplete.
  void endBroken(const Pending &R) {
    R->Call->abort();
    ended(R, "broken", /*Failed=*/true);
  }

  void end(const Pending &R, const Problem &P) {
    if (R->Ended)
      return;
    Problem Told = P;
    Told.KeyUnchecked = !R->repeatable() && !R->KeyChecked;
    R->Call->respond(problemResponse(Told));
    ended(R, nameOf(P.Kind), /*Failed=*/true);
  }

  /// Refuses a request before any attempt.
  void answerProblem(http::Exchange &Call, const Problem &P) {
    count(nameOf(P.Kind));
    Call.respond(problemResponse(P));
  }

  void ended(const Pending &R, const char *Outcome, bool Failed) {
    R->Ended = true;
    count(Outcome);
    R->Span.Failed = Failed;
    With.Context.Tracer->close(R->Span);
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

  Parts With;
  std::unique_ptr<ClaimResolver> Claims;
  prometheus::Family<prometheus::Counter> &Outcomes;
  prometheus::Family<prometheus::Counter> &AttemptCounts;
  runtime::TimerService::Subscription Tick;
  routing::OverloadControl Overload;
  routing::RetryBudget Retries;
  routing::RequestQueue<Pending> Waiting;
  std::size_t LiveEntries = 1;
  std::function<void()> OnIdle;
};

} // namespace

std::unique_ptr<RequestHandler> RequestHandler::create(Parts With) {
  return std::make_unique<RequestHandlerImpl>(With);
}

} // namespace rosemarylane
