#ifndef ROSEMARYLANE_SERVING_REQUEST_OUTCOME_H
#define ROSEMARYLANE_SERVING_REQUEST_OUTCOME_H

#include "core/BootClock.h"
#include "serving/ServingConfig.h"

#include <chrono>
#include <cstdint>

namespace rosemarylane::serving {

/// How one send of a request to a target ended, with regard to the request.
enum class SendResult {
  /// No byte of the request was sent, so it did not run.
  NotSent,
  /// The target reported that it did not run the request and never will.
  Rejected,
  /// A complete response that reports success or an error of the caller.
  Answered,
  /// A complete response that reports an error of the target.
  Failed,
  /// The exchange broke or timed out; the request may have run.
  Unknown,
};

/// What to do after a send.
enum class RetryDecision {
  /// Forward the target's response to the caller.
  Forward,
  /// Send the request to another target.
  Retry,
  /// Refuse the request: it has not run and never will.
  Refuse,
  /// Report a failure without saying whether the request ran.
  Fail,
};

/// Tracks the sends of one request and decides whether it may be sent again.
///
/// A request that is not repeatable is sent again only if no earlier send can
/// have run. A refusal promises the caller that the request did not run, so it
/// is returned only if that holds for every send. Value type, one per request;
/// not thread-safe.
class RequestOutcome {
public:
  RequestOutcome() = default;
  RequestOutcome(bool Repeatable, std::uint32_t MaxAttempts)
      : Repeatable(Repeatable), MaxAttempts(MaxAttempts) {}

  /// Records the end of a send.
  void recordResult(SendResult Result) {
    Last = Result;
    if (Result != SendResult::NotSent)
      ++DeliveredSends;
    if (Result != SendResult::NotSent && Result != SendResult::Rejected)
      MayHaveRun = true;
    if (Result == SendResult::NotSent)
      ++UndeliveredSends;
  }

  /// @return whether another send is allowed, regardless of retry budget and
  /// time.
  bool mayRetry() const {
    if (DeliveredSends >= MaxAttempts ||
        UndeliveredSends >= MaxUndeliveredSends)
      return false;
    return Repeatable || !MayHaveRun;
  }

  /// @param BudgetLeft takes one retry from the budget and returns whether one
  /// was left; called only if an earlier send reached a target.
  /// @return what follows the last send.
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
  /// Connections that may fail to open before the request is refused.
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
