#ifndef ROSEMARYLANE_SERVING_REQUEST_OUTCOME_H
#define ROSEMARYLANE_SERVING_REQUEST_OUTCOME_H

#include "core/BootClock.h"
#include "serving/ServingConfig.h"

#include <chrono>
#include <cstdint>

namespace rosemarylane::serving {

/// How one send of a request to a target ended.
enum class SendEnd {
  /// No byte of the request left: it did not run.
  NotSent,
  /// The target says that it did not run the request and never will.
  Rejected,
  /// A whole answer of the target that reports success or the caller's fault.
  Answered,
  /// A whole answer of the target that reports its own failure.
  Failed,
  /// The exchange broke or went silent; the request may have run.
  Unknown,
};

/// What is done after a send.
enum class NextStep {
  /// Pass the target's answer on.
  PassOn,
  /// Send to another target.
  SendAgain,
  /// Refuse: the request has not run and never will.
  Refuse,
  /// Report a failure that leaves open whether the request ran.
  Fail,
};

/// The sends of one request so far, and what may follow.
///
/// A request that is not repeatable is sent again only while it is proved that
/// no earlier send ran. A refusal says "not run", so it is given only while
/// that is proved of every send. A value type.
class RequestOutcome {
public:
  RequestOutcome() = default;
  RequestOutcome(bool Repeatable, std::uint32_t MaxAttempts)
      : Repeatable(Repeatable), MaxAttempts(MaxAttempts) {}

  /// A send ended.
  void ended(SendEnd End) {
    Last = End;
    if (End != SendEnd::NotSent)
      ++Arrivals;
    if (End != SendEnd::NotSent && End != SendEnd::Rejected)
      MayHaveRun = true;
    if (End == SendEnd::NotSent)
      ++Unsent;
  }

  /// @return whether the rules allow another send, budget and time aside.
  bool maySendAgain() const {
    if (Arrivals >= MaxAttempts || Unsent >= MaxUnsent)
      return false;
    return Repeatable || !MayHaveRun;
  }

  /// What follows the last send.
  /// @param BudgetLeft whether the retry budget has one left; asked only if a
  /// target was reached before.
  template <typename TryBudget> NextStep next(TryBudget BudgetLeft) const {
    if (Last == SendEnd::Answered)
      return NextStep::PassOn;
    bool Again = maySendAgain() && (Arrivals == 0 || BudgetLeft());
    if (Again)
      return NextStep::SendAgain;
    if (Last == SendEnd::Failed)
      return NextStep::PassOn;
    return MayHaveRun ? NextStep::Fail : NextStep::Refuse;
  }

  bool mayHaveRun() const { return MayHaveRun; }
  std::uint32_t arrivals() const { return Arrivals; }

private:
  /// Connections that could not be opened before the request is refused.
  static constexpr std::uint32_t MaxUnsent = 4;

  bool Repeatable = false;
  std::uint32_t MaxAttempts = 1;
  std::uint32_t Arrivals = 0;
  std::uint32_t Unsent = 0;
  bool MayHaveRun = false;
  SendEnd Last = SendEnd::NotSent;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_REQUEST_OUTCOME_H
