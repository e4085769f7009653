#ifndef ROSEMARYLANE_SERVING_REQUEST_OUTCOME_H
#define ROSEMARYLANE_SERVING_REQUEST_OUTCOME_H

#include "core/BootClock.h"
#include "serving/ServingConfig.h"

#include <chrono>
#include <cstdint>

namespace rosemarylane::serving {

/// How one send of a request to a target ended.
enum class SendResult {
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
enum class RetryDecision {
  /// Pass the target's answer on.
  Forward,
  /// Send to another target.
  Retry,
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
  void recordResult(SendResult Result) {
    Last = Result;
    if (Result != SendResult::NotSent)
      ++DeliveredSends;
    if (Result != SendResult::NotSent && Result != SendResult::Rejected)
      MayHaveRun = true;
    if (Result == SendResult::NotSent)
      ++UndeliveredSends;
  }

  /// @return whether the rules allow another send, budget and time aside.
  bool mayRetry() const {
    if (DeliveredSends >= MaxAttempts ||
        UndeliveredSends >= MaxUndeliveredSends)
      return false;
    return Repeatable || !MayHaveRun;
  }

  /// What follows the last send.
  /// @param BudgetLeft whether the retry budget has one left; asked only if a
  /// target was reached before.
  template <typename TryBudget> RetryDecision next(TryBudget BudgetLeft) const {
    if (Last == SendResult::Answered)
      return RetryDecision::Forward;
    bool RetryAllowed = mayRetry() && (DeliveredSends == 0 || BudgetLeft());
    if (RetryAllowed)
      return RetryDecision::Retry;
    if (Last == SendResult::Failed)
      return RetryDecision::Forward;
    return MayHaveRun ? RetryDecision::Fail : RetryDecision::Refuse;
  }

  bool mayHaveRun() const { return MayHaveRun; }
  std::uint32_t deliveredSends() const { return DeliveredSends; }

private:
  /// Connections that could not be opened before the request is refused.
  static constexpr std::uint32_t MaxUndeliveredSends = 4;

  bool Repeatable = false;
  std::uint32_t MaxAttempts = 1;
  std::uint32_t DeliveredSends = 0;
  std::uint32_t UndeliveredSends = 0;
  bool MayHaveRun = false;
  SendResult Last = SendResult::NotSent;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_REQUEST_OUTCOME_H
