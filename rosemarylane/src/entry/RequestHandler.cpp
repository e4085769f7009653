#include "entry/RequestHandler.h"

#include "entry/PendingRequest.h"
#include "entry/Problem.h"

#include <list>
#include <map>
#include <prometheus/counter.h>
#include <prometheus/histogram.h>

namespace rosemarylane {

namespace {

constexpr std::chrono::seconds RequestDeadline{60};
/// A request waits this long for a target before it is refused.
constexpr std::chrono::milliseconds TargetWait{1000};
constexpr std::chrono::milliseconds WaitTick{25};
constexpr std::chrono::milliseconds HolderPollInterval{200};
constexpr std::chrono::milliseconds RetryAfterBusy{500};
constexpr std::uint32_t MaxAttempts = 4;

core::TimePoint now() { return std::chrono::steady_clock::now(); }

using Pending = std::shared_ptr<PendingRequest>;

class RequestHandlerImpl final : public RequestHandler {
public:
  explicit RequestHandlerImpl(Parts With)
      : With(With), Outcomes(prometheus::BuildCounter()
                                 .Name("rosemarylane_requests_total")
                                 .Help("Callers' requests by outcome")
                                 .Register(*With.Context.Metrics)),
        Retries(prometheus::BuildCounter()
                    .Name("rosemarylane_attempts_total")
                    .Help("Attempts sent to targets, by whether they repeat "
                          "an earlier one")
                    .Register(*With.Context.Metrics)) {
    Tick = With.Context.Timers->every(WaitTick, *With.Context.Control,
                                      [this] { onTick(); });
  }

  void handle(std::shared_ptr<http::Exchange> Call) override {
    auto Parsed = parseCallerRequest(Call->request());
    if (!Parsed)
      return answerProblem(*Call, Parsed.error());
    auto Config = With.Configuration.current();
    auto R = std::make_shared<PendingRequest>();
    R->Call = std::move(Call);
    R->Parsed = std::move(*Parsed);
    R->ArrivedAt = now();
    R->Deadline = R->ArrivedAt + RequestDeadline;
    if (auto Refused = check(*Config, *R))
      return answerProblem(*R->Call, *Refused);
    openSpan(*R);
    ++InProgress;
    R->Call->onGone([this, Weak = std::weak_ptr(R)] {
      With.Context.Control->postAlways([this, Weak] {
        if (auto R = Weak.lock())
          callerGone(R);
      });
    });
    dispatch(R);
  }

  void whenIdle(std::function<void()> Idle) override {
    OnIdle = std::move(Idle);
    checkIdle();
  }

  std::size_t inProgress() const override { return InProgress; }

private:
  // ---- Checks ----

  std::optional<Problem> check(const core::Configuration &Config,
                               PendingRequest &R) const {
    auto Refuse = [](ProblemKind Kind, std::string Detail = {}) {
      return Problem{Kind, ledger::Ran::No, std::move(Detail), {}};
    };
    if (Config.Revision == 0) {
      Problem P = Refuse(ProblemKind::NoConfiguration);
      P.RetryAfter = RetryAfterBusy;
      return P;
    }
    const core::Workspace *Owner =
        R.Parsed.TokenDigest.none()
            ? nullptr
            : Config.workspaceByToken(R.Parsed.TokenDigest);
    if (!Owner)
      return Refuse(ProblemKind::Unauthorised);
    const core::CatalogueEntry *Entry = Config.entry(R.Parsed.Entry);
    if (!Entry || Entry->Owner != Owner->Name)
      return Refuse(ProblemKind::UnknownEntry, R.Parsed.Entry.str());
    R.Workspace = Owner->Name;
    R.Entry = *Entry;
    R.Repeatable = Entry->Idempotent || R.Parsed.SafeMethod;
    if (!R.Repeatable && R.Parsed.IdempotencyKey.empty())
      return Refuse(ProblemKind::IdempotencyKeyMissing);
    if (With.Members.quarantined(R.Parsed.Digest))
      return Refuse(ProblemKind::Quarantined);
    return std::nullopt;
  }

  void openSpan(PendingRequest &R) {
    auto Header = R.Call->request().Fields.find("traceparent");
    R.Span = telemetry::Tracer::open(
        "entry.request",
        telemetry::TraceContext::fromHeader(Header.value_or("")));
    R.Span.Attributes.emplace_back("entry", R.Entry.Name.str());
    R.Span.Attributes.emplace_back("workspace", R.Workspace.str());
  }

  // ---- Dispatch ----

  /// Sends the next attempt, or waits for a target.
  void dispatch(const Pending &R) {
    if (R->Ended)
      return;
    auto Target =
        With.Members.choose({R->Entry.Name, R->Parsed.PrefixHash, R->Excluded});
    if (!Target)
      return waitForTarget(R);
    R->Target = std::move(Target);
    R->RequestId = With.Attempts.newRequestId();
    ++R->Attempt;
    if (R->Repeatable)
      return sendAttempt(R);
    With.Ledger.claim(
        ledgerKey(*R), claimOf(*R),
        [this, R](ClaimOutcome Outcome) { onClaim(R, std::move(Outcome)); });
  }

  void waitForTarget(const Pending &R) {
    core::TimePoint Now = now();
    bool Late = Now - R->ArrivedAt > TargetWait;
    bool Full = Waiting.size() >= R->Entry.Limit.Queue;
    if (!Late && !Full)
      return Waiting.push_back(R);
    Problem P{ProblemKind::NoTarget, ledger::Ran::No, R->LastRefusal,
              RetryAfterBusy};
    end(R, P);
  }

  void onTick() {
    std::list<Pending> Ready;
    Ready.swap(Waiting);
    for (const Pending &R : Ready)
      dispatch(R);
  }

  LedgerKey ledgerKey(const PendingRequest &R) const {
    return {R.Workspace, R.Parsed.IdempotencyKey, R.Parsed.Digest};
  }

  ClaimedAttempt claimOf(const PendingRequest &R) const {
    ClaimedAttempt Claim;
    Claim.RequestId = R.RequestId;
    Claim.Agent = R.Target->Agent;
    Claim.AgentAddress = R.Target->AgentAddress;
    Claim.AgentIncarnation = R.Target->AgentIncarnation;
    Claim.AgentTime = R.Target->AgentTime;
    return Claim;
  }

  void sendAttempt(const Pending &R) {
    R->AttemptStartedAt = now();
    R->Attempting = true;
    R->FirstPartAt.reset();
    R->Whole = {};
    Retries.Add({{"retry", R->Attempt > 1 ? "true" : "false"}}).Increment();
    AttemptTarget Target{R->Target->AgentAddress, R->Target->AgentIncarnation,
                         R->Target->AgentTime};
    AttemptClient::Hooks Hooks;
    Hooks.OnHead = [this, R](http::ResponseHead Head) {
      onHead(R, std::move(Head));
    };
    Hooks.OnPart = [this, R](std::string Part) { onPart(R, std::move(Part)); };
    Hooks.OnEnd = [this, R](AttemptEnd End) { onAttemptEnd(R, End); };
    With.Attempts.start(Target, runRequest(*R), std::move(Hooks));
  }

  wire::Envelope runRequest(const PendingRequest &R) const {
    wire::Envelope Message;
    Message.set_traceparent(R.Span.Context.header());
    wire::RunRequest &Out = *Message.mutable_run_request();
    Out.mutable_id()->set_request(R.RequestId);
    Out.mutable_id()->set_attempt(R.Attempt);
    Out.set_entry(R.Entry.Name.str());
    if (!R.Target->Version.none())
      Out.set_version(std::string(R.Target->Version.bytes()));
    const http::Request &Request = R.Call->request();
    Out.set_method(Request.Method);
    Out.set_target(R.Parsed.TargetPath);
    for (const auto &[Name, Value] : Request.Fields) {
      // The caller's token is for the system, not for the target.
      if (Name == "Authorization" || Name == "authorization")
        continue;
      wire::Header &H = *Out.add_headers();
      H.set_name(Name);
      H.set_value(Value);
    }
    Out.set_body(Request.Body);
    Out.set_workspace(R.Workspace.str());
    Out.set_traffic_class(static_cast<std::uint32_t>(R.Entry.Class));
    auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
        TargetWait + R.ArrivedAt - now());
    Out.set_deadline_ms(std::max<std::int64_t>(Left.count(), 1));
    Out.set_idempotent(R.Repeatable);
    Out.set_digest(std::string(R.Parsed.Digest.bytes()));
    return Message;
  }

  // ---- The answer ----

  void onHead(const Pending &R, http::ResponseHead Head) {
    R->Whole.Head = std::move(Head);
  }

  void onPart(const Pending &R, std::string Part) {
    if (!R->FirstPartAt)
      R->FirstPartAt = now();
    if (!R->Parsed.Stream) {
      R->Whole.Body += Part;
      return;
    }
    if (!R->Repeatable)
      R->Whole.Body += Part;
    if (!R->StreamStarted) {
      R->StreamStarted = true;
      R->Call->startStream(R->Whole.Head);
    }
    R->Call->write(std::move(Part));
  }

  void onAttemptEnd(const Pending &R, const AttemptEnd &End) {
    R->Attempting = false;
    tellMembers(*R, End);
    if (!R->Repeatable)
      return onOnceEnd(R, End);
    if (R->Ended)
      return;
    if (End.What == AttemptEnd::Kind::Whole)
      return endWhole(R);
    if (R->StreamStarted)
      return endBroken(R);
    if (End.Reason == wire::REFUSAL_QUARANTINED)
      return end(R, {ProblemKind::Quarantined, ledger::Ran::No, "", {}});
    R->Excluded.insert(R->Target->Agent);
    R->LastRefusal = End.Detail;
    if (mayRetry(*R, End))
      return dispatch(R);
    end(R, problemOf(*R, End));
  }

  /// A refusal before the start costs a target nothing, so only the deadline
  /// bounds it.
  bool mayRetry(const PendingRequest &R, const AttemptEnd &End) const {
    if (now() > R.Deadline)
      return false;
    return End.Ran == ledger::Ran::No ? now() - R.ArrivedAt < TargetWait
                                      : R.Attempt < MaxAttempts;
  }

  Problem problemOf(const PendingRequest &R, const AttemptEnd &End) const {
    if (End.Ran == ledger::Ran::No)
      return {ProblemKind::NoTarget, ledger::Ran::No, End.Detail,
              RetryAfterBusy};
    return {ProblemKind::TargetFailed,
            R.Repeatable ? ledger::Ran::Unknown : End.Ran,
            End.Detail,
            {}};
  }

  void tellMembers(const PendingRequest &R, const AttemptEnd &End) {
    MembershipService::Finish How;
    How.Reason = End.Reason;
    switch (End.What) {
    case AttemptEnd::Kind::Whole:
      How.What = MembershipService::Finish::Kind::Answered;
      break;
    case AttemptEnd::Kind::Refused:
      How.What = MembershipService::Finish::Kind::Refused;
      break;
    case AttemptEnd::Kind::Lost:
      How.What = MembershipService::Finish::Kind::Lost;
      break;
    }
    if (R.FirstPartAt)
      How.TimeToFirstByte = *R.FirstPartAt - R.AttemptStartedAt;
    With.Members.finished(R.Target->Agent, How);
  }

  // ---- Calls that may not be repeated ----

  void onClaim(const Pending &R, ClaimOutcome Outcome) {
    using Kind = ClaimOutcome::Kind;
    if (Outcome.What == Kind::Claimed && !R->Ended)
      return sendAttempt(R);
    if (Outcome.What == Kind::Claimed)
      releaseClaim(*R);
    With.Members.finished(R->Target->Agent, {});
    auto Refuse = [&](ProblemKind Problem, ledger::Ran Ran) {
      end(R, {Problem, Ran, "", {}});
    };
    switch (Outcome.What) {
    case Kind::Claimed:
      return;
    case Kind::InProgress:
      return followHolder(R, Outcome.Holder);
    case Kind::Answered:
      R->Whole = std::move(*Outcome.Answer);
      return endWhole(R);
    case Kind::RanAnswerGone:
      return Refuse(ProblemKind::AnswerGone, ledger::Ran::Yes);
    case Kind::Unknown:
      return Refuse(ProblemKind::OutcomeUnknown, ledger::Ran::Unknown);
    case Kind::OtherRequest:
      return Refuse(ProblemKind::IdempotencyKeyReused, ledger::Ran::No);
    case Kind::Expired:
      return Refuse(ProblemKind::IdempotencyKeyExpired, ledger::Ran::Unknown);
    case Kind::Unavailable:
      return end(R, {ProblemKind::LedgerUnavailable, ledger::Ran::No, "",
                     RetryAfterBusy});
    }
  }

  /// The caller has gone before the attempt was sent.
  void releaseClaim(const PendingRequest &R) {
    AttemptResult NotRun;
    NotRun.What = AttemptResult::Kind::NotRun;
    With.Ledger.record(ledgerKey(R), claimOf(R), NotRun, [](bool) {});
  }

  /// The key is held by an attempt of another request: asks its agent until the
  /// outcome is known.
  void followHolder(const Pending &R, const ClaimedAttempt &Holder) {
    if (R->Ended)
      return;
    if (now() > R->Deadline)
      return end(R, {ProblemKind::OutcomeUnknown, ledger::Ran::Unknown, "",
                     RetryAfterBusy});
    AttemptTarget Target{Holder.AgentAddress, Holder.AgentIncarnation,
                         Holder.AgentTime};
    With.Attempts.query(Target, Holder.RequestId, /*Forbid=*/true,
                        [this, R, Holder](AttemptClient::Outcome Outcome) {
                          onHolderOutcome(R, Holder, std::move(Outcome));
                        });
  }

  void onHolderOutcome(const Pending &R, const ClaimedAttempt &Holder,
                       AttemptClient::Outcome Outcome) {
    if (Outcome.InProgress) {
      Polls.push_back({now() + HolderPollInterval,
                       With.Context.Timers->after(
                           HolderPollInterval, *With.Context.Control,
                           [this, R, Holder] { followHolder(R, Holder); })});
      std::erase_if(Polls, [](const Poll &P) { return P.DueAt < now(); });
      return;
    }
    AttemptResult Result;
    if (Outcome.Known && Outcome.Ran == ledger::Ran::No)
      Result.What = AttemptResult::Kind::NotRun;
    else if (Outcome.Answer) {
      Result.What = AttemptResult::Kind::Answered;
      Result.Answer = Outcome.Answer;
    } else {
      return end(R, {ProblemKind::OutcomeUnknown, ledger::Ran::Unknown,
                     "the target that may have run it does not answer",
                     RetryAfterBusy});
    }
    With.Ledger.record(ledgerKey(*R), Holder, Result,
                       [this, R, Result](bool Written) {
                         onHolderRecorded(R, Result, Written);
                       });
  }

  void onHolderRecorded(const Pending &R, const AttemptResult &Result,
                        bool Written) {
    if (Result.What == AttemptResult::Kind::Answered) {
      R->Whole = *Result.Answer;
      return endWhole(R);
    }
    // The holder's attempt will never run: claim the key for an attempt of this
    // request.
    if (Written)
      return dispatch(R);
    end(R,
        {ProblemKind::LedgerUnavailable, ledger::Ran::No, "", RetryAfterBusy});
  }

  void onOnceEnd(const Pending &R, const AttemptEnd &End) {
    AttemptResult Result;
    if (End.What == AttemptEnd::Kind::Whole) {
      Result.What = AttemptResult::Kind::Answered;
      Result.Answer = R->Whole;
    } else if (End.Ran == ledger::Ran::No) {
      Result.What = AttemptResult::Kind::NotRun;
    }
    With.Ledger.record(
        ledgerKey(*R), claimOf(*R), Result,
        [this, R, End](bool Written) { onOnceRecorded(R, End, Written); });
  }

  void onOnceRecorded(const Pending &R, const AttemptEnd &End, bool Written) {
    if (R->Ended)
      return;
    if (End.What == AttemptEnd::Kind::Whole)
      return endWhole(R);
    if (R->StreamStarted)
      return endBroken(R);
    if (End.Ran != ledger::Ran::No)
      return end(R, {End.Ran == ledger::Ran::Yes ? ProblemKind::AnswerGone
                                                 : ProblemKind::OutcomeUnknown,
                     End.Ran,
                     End.Detail,
                     {}});
    R->Excluded.insert(R->Target->Agent);
    R->LastRefusal = End.Detail;
    if (Written && mayRetry(*R, End))
      return dispatch(R);
    end(R, problemOf(*R, End));
  }

  // ---- Ending ----

  void callerGone(const Pending &R) {
    if (R->Ended)
      return;
    // A call that may not be repeated goes on, so that its answer is recorded.
    if (R->Repeatable && R->Attempting) {
      With.Attempts.abandon(R->RequestId);
      With.Members.finished(R->Target->Agent, {});
    }
    count("caller_gone");
    closeSpan(*R, true);
    ended(R);
  }

  void endWhole(const Pending &R) {
    if (R->Ended)
      return;
    if (R->StreamStarted)
      R->Call->finish();
    else
      R->Call->respond(std::move(R->Whole));
    count("answered");
    closeSpan(*R, false);
    ended(R);
  }

  /// Part of the answer has gone out: the connection is closed, so the caller
  /// sees that it is not whole.
  void endBroken(const Pending &R) {
    R->Call->abort();
    count("broken");
    closeSpan(*R, true);
    ended(R);
  }

  void end(const Pending &R, const Problem &P) {
    if (R->Ended)
      return;
    answerProblem(*R->Call, P);
    closeSpan(*R, true);
    ended(R);
  }

  void answerProblem(http::Exchange &Call, const Problem &P) {
    count(nameOf(P.Kind));
    Call.respond(problemResponse(P));
  }

  void ended(const Pending &R) {
    R->Ended = true;
    --InProgress;
    checkIdle();
  }

  void checkIdle() {
    if (InProgress == 0 && OnIdle)
      std::exchange(OnIdle, nullptr)();
  }

  void count(const std::string &Outcome) {
    Outcomes.Add({{"outcome", Outcome}}).Increment();
  }

  void closeSpan(PendingRequest &R, bool Failed) {
    R.Span.Failed = Failed;
    With.Context.Tracer->close(std::move(R.Span));
  }

  /// A timer after which another holder of a key is asked again.
  struct Poll {
    core::TimePoint DueAt;
    runtime::TimerService::Subscription Timer;
  };

  Parts With;
  prometheus::Family<prometheus::Counter> &Outcomes;
  prometheus::Family<prometheus::Counter> &Retries;
  runtime::TimerService::Subscription Tick;
  std::list<Pending> Waiting;
  std::list<Poll> Polls;
  std::size_t InProgress = 0;
  std::function<void()> OnIdle;
};

} // namespace

std::unique_ptr<RequestHandler> RequestHandler::create(Parts With) {
  return std::make_unique<RequestHandlerImpl>(With);
}

} // namespace rosemarylane
