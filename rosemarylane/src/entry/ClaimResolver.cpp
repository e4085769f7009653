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
struct PendingClaim {
  LedgerKey Key;
  ClaimedAttempt OwnAttempt;
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

  void resolve(LedgerKey Key, ClaimedAttempt OwnAttempt,
               core::TimePoint Deadline,
               std::function<void(Resolution)> OnDone) override {
    auto Pending = std::make_shared<PendingClaim>();
    Pending->Key = std::move(Key);
    Pending->OwnAttempt = std::move(OwnAttempt);
    Pending->Deadline = Deadline;
    Pending->OnDone = std::move(OnDone);
    claim(Pending);
  }

private:
  using PendingClaimPtr = std::shared_ptr<PendingClaim>;

  void claim(const PendingClaimPtr &Pending) {
    Ledger.claim(Pending->Key, Pending->OwnAttempt,
                 [this, Pending](ClaimOutcome Outcome) {
                   onClaim(Pending, std::move(Outcome));
                 });
  }

  void onClaim(const PendingClaimPtr &Pending, ClaimOutcome Outcome) {
    using Kind = ClaimOutcome::Kind;
    switch (Outcome.Type) {
    case Kind::Claimed:
      return Pending->OnDone(Claimed{});
    case Kind::InProgress:
      return queryHolder(Pending, Outcome.Holder);
    case Kind::Answered:
      return Pending->OnDone(std::move(*Outcome.Answer));
    case Kind::AnswerDiscarded:
      return Pending->OnDone(
          refusal(ProblemKind::AnswerGone, ledger::Ran::Yes));
    case Kind::Unknown:
      // The agent may be reachable again and may hold the answer.
      Pending->RecordedUnknown = true;
      return queryHolder(Pending, Outcome.Holder);
    case Kind::OtherRequest:
      return Pending->OnDone(
          refusal(ProblemKind::IdempotencyKeyReused, ledger::Ran::No));
    case Kind::Expired:
      return Pending->OnDone(
          refusal(ProblemKind::IdempotencyKeyExpired, ledger::Ran::Unknown));
    case Kind::Unavailable:
      return Pending->OnDone(
          refusal(ProblemKind::LedgerUnavailable, ledger::Ran::No));
    }
  }

  void queryHolder(const PendingClaimPtr &Pending,
                   const ClaimedAttempt &Holder) {
    AttemptTarget Target{Holder.AgentAddress, Holder.AgentIncarnation,
                         Holder.AgentTime};
    Attempts.query(Target, Holder.RequestId, /*Forbid=*/true,
                   [this, Pending, Holder](AttemptClient::Outcome Outcome) {
                     onHolderOutcome(Pending, Holder, std::move(Outcome));
                   });
  }

  void onHolderOutcome(const PendingClaimPtr &Pending,
                       const ClaimedAttempt &Holder,
                       AttemptClient::Outcome Outcome) {
    if (!Outcome.Replied)
      return Pending->OnDone(
          refusal(ProblemKind::OutcomeUnknown, ledger::Ran::Unknown,
                  "the agent that may have run it does not answer"));
    if (Outcome.InProgress)
      return scheduleNext(
          Pending, [this, Pending, Holder] { queryHolder(Pending, Holder); });
    if (Outcome.Ran == ledger::Ran::No)
      return releaseClaim(Pending, Holder);
    // The caller does not wait for the record, because the store may be down.
    if (Outcome.Answer) {
      Ledger.record(Pending->Key, Holder,
                    {AttemptResult::Kind::Answered, Outcome.Answer},
                    [](bool) {});
      return Pending->OnDone(std::move(*Outcome.Answer));
    }
    if (!Pending->RecordedUnknown)
      Ledger.record(Pending->Key, Holder, {AttemptResult::Kind::Unknown, {}},
                    [](bool) {});
    Pending->OnDone(refusal(Outcome.Ran == ledger::Ran::Yes
                                ? ProblemKind::AnswerGone
                                : ProblemKind::OutcomeUnknown,
                            Outcome.Ran));
  }

  /// Releases the claim of an attempt that will never run, and claims the key
  /// again.
  void releaseClaim(const PendingClaimPtr &Pending,
                    const ClaimedAttempt &Holder) {
    Ledger.record(Pending->Key, Holder, {AttemptResult::Kind::NotRun, {}},
                  [this, Pending](bool Written) {
                    // If the record was not written, another process may have
                    // released or claimed the key first.
                    if (Written)
                      claim(Pending);
                    else
                      scheduleNext(Pending,
                                   [this, Pending] { claim(Pending); });
                  });
  }

  /// Calls \p Next after a pause, or ends with an unknown outcome once the
  /// deadline has passed.
  void scheduleNext(const PendingClaimPtr &Pending,
                    std::function<void()> Next) {
    if (now() > Pending->Deadline)
      return Pending->OnDone(
          refusal(ProblemKind::OutcomeUnknown, ledger::Ran::Unknown));
    Pending->Timer = Context.Timers->after(HolderPollInterval, *Context.Control,
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
