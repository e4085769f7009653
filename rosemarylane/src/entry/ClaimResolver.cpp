#include "entry/ClaimResolver.h"

namespace rosemarylane {

namespace {

constexpr std::chrono::milliseconds HolderPollInterval{200};
constexpr std::chrono::milliseconds RetryAfter{500};

core::TimePoint now() { return std::chrono::steady_clock::now(); }

Problem refusal(ProblemKind Kind, ledger::Ran Ran, std::string Detail = {}) {
  return {Kind, Ran, std::move(Detail), RetryAfter};
}

/// A key that is being resolved. Kept alive by the call or timer in progress.
struct Case {
  LedgerKey Key;
  ClaimedAttempt Mine;
  core::TimePoint Deadline;
  std::function<void(ClaimResolver::Resolution)> OnDone;
  /// Whether the ledger has recorded already that the outcome is unknown.
  bool RecordedUnknown = false;
  /// Timer of the next query or claim.
  runtime::TimerService::Subscription Timer;
};

class ClaimResolverImpl final : public ClaimResolver {
public:
  ClaimResolverImpl(ProcessContext &Context, LedgerService &Ledger,
                    AttemptClient &Attempts)
      : Context(Context), Ledger(Ledger), Attempts(Attempts) {}

  void resolve(LedgerKey Key, ClaimedAttempt Mine, core::TimePoint Deadline,
               std::function<void(Resolution)> OnDone) override {
    auto C = std::make_shared<Case>();
    C->Key = std::move(Key);
    C->Mine = std::move(Mine);
    C->Deadline = Deadline;
    C->OnDone = std::move(OnDone);
    claim(C);
  }

private:
  using CasePtr = std::shared_ptr<Case>;

  void claim(const CasePtr &C) {
    Ledger.claim(C->Key, C->Mine, [this, C](ClaimOutcome Outcome) {
      onClaim(C, std::move(Outcome));
    });
  }

  void onClaim(const CasePtr &C, ClaimOutcome Outcome) {
    using Kind = ClaimOutcome::Kind;
    switch (Outcome.What) {
    case Kind::Claimed:
      return C->OnDone(Claimed{});
    case Kind::InProgress:
      return follow(C, Outcome.Holder);
    case Kind::Answered:
      return C->OnDone(std::move(*Outcome.Answer));
    case Kind::RanAnswerGone:
      return C->OnDone(refusal(ProblemKind::AnswerGone, ledger::Ran::Yes));
    case Kind::Unknown:
      // The agent may be reachable again and may hold the answer.
      C->RecordedUnknown = true;
      return follow(C, Outcome.Holder);
    case Kind::OtherRequest:
      return C->OnDone(
          refusal(ProblemKind::IdempotencyKeyReused, ledger::Ran::No));
    case Kind::Expired:
      return C->OnDone(
          refusal(ProblemKind::IdempotencyKeyExpired, ledger::Ran::Unknown));
    case Kind::Unavailable:
      return C->OnDone(
          refusal(ProblemKind::LedgerUnavailable, ledger::Ran::No));
    }
  }

  void follow(const CasePtr &C, const ClaimedAttempt &Holder) {
    AttemptTarget Target{Holder.AgentAddress, Holder.AgentIncarnation,
                         Holder.AgentTime};
    Attempts.query(Target, Holder.RequestId, /*Forbid=*/true,
                   [this, C, Holder](AttemptClient::Outcome Outcome) {
                     onHolderOutcome(C, Holder, std::move(Outcome));
                   });
  }

  void onHolderOutcome(const CasePtr &C, const ClaimedAttempt &Holder,
                       AttemptClient::Outcome Outcome) {
    if (!Outcome.Known)
      return C->OnDone(
          refusal(ProblemKind::OutcomeUnknown, ledger::Ran::Unknown,
                  "the agent that may have run the request does not respond"));
    if (Outcome.InProgress)
      return later(C, [this, C, Holder] { follow(C, Holder); });
    if (Outcome.Ran == ledger::Ran::No)
      return release(C, Holder);
    // The caller does not wait for the record, because the store may be down.
    if (Outcome.Answer) {
      Ledger.record(C->Key, Holder,
                    {AttemptResult::Kind::Answered, Outcome.Answer},
                    [](bool) {});
      return C->OnDone(std::move(*Outcome.Answer));
    }
    if (!C->RecordedUnknown)
      Ledger.record(C->Key, Holder, {AttemptResult::Kind::Unknown, {}},
                    [](bool) {});
    C->OnDone(refusal(Outcome.Ran == ledger::Ran::Yes
                          ? ProblemKind::AnswerGone
                          : ProblemKind::OutcomeUnknown,
                      Outcome.Ran));
  }

  /// Releases the claim of an attempt that will never run, and claims the key
  /// again.
  void release(const CasePtr &C, const ClaimedAttempt &Holder) {
    Ledger.record(C->Key, Holder, {AttemptResult::Kind::NotRun, {}},
                  [this, C](bool Written) {
                    // If the record was not written, another process may have
                    // released or claimed the key first.
                    if (Written)
                      claim(C);
                    else
                      later(C, [this, C] { claim(C); });
                  });
  }

  /// Calls \p Next after a pause, or ends with an unknown outcome once the
  /// deadline has passed.
  void later(const CasePtr &C, std::function<void()> Next) {
    if (now() > C->Deadline)
      return C->OnDone(
          refusal(ProblemKind::OutcomeUnknown, ledger::Ran::Unknown));
    C->Timer = Context.Timers->after(HolderPollInterval, *Context.Control,
                                     std::move(Next));
  }

  ProcessContext &Context;
  LedgerService &Ledger;
  AttemptClient &Attempts;
};

} // namespace

std::unique_ptr<ClaimResolver> ClaimResolver::create(ProcessContext &Context,
                                                     LedgerService &Ledger,
                                                     AttemptClient &Attempts) {
  return std::make_unique<ClaimResolverImpl>(Context, Ledger, Attempts);
}

} // namespace rosemarylane
