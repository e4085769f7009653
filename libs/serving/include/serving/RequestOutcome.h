#ifndef ROSEMARYLANE_SERVING_REQUEST_OUTCOME_H
#define ROSEMARYLANE_SERVING_REQUEST_OUTCOME_H

#include "core/BootClock.h"
#include "serving/ServingConfig.h"

#include <chrono>
#include <cstdint>

namespace rosemarylane::serving {

/// How one send of a request to a target ended, by whether the request may have
/// run there. `TargetFeedback` is the counterpart for the target's health.
enum class SendResult {
  /// No byte of the request was sent, so it did not run.
  NotSent,
  /// Nothing was sent, because since its selection the target must not get the
  /// request any more (`LoadBalancer::maySend`).
  Withheld,
  /// The target refused the request: it has not run it and never will.
  Refused,
  /// A complete response that reports success or an error of the caller.
  Answered,
  /// A complete response that reports an error of the target; the request may
  /// have run.
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
  /// Refuse the request to the caller: no target has run it or ever will.
  Refuse,
  /// Report a failure to the caller without saying whether the request ran.
  ReportUnknownOutcome,
};

/// Tracks the sends of one request and decides whether it may be sent again.
///
/// A send counts as an attempt unless it ended with `NotSent`, that is unless
/// no byte of the request left this process. Attempts and sends that are not
/// attempts have separate limits. A send that ended with `Withheld` counts for
/// neither: another target is selected in its place.
///
/// A request that is not repeatable is sent again only if no earlier send can
/// have run. A refusal promises the caller that the request did not run, so it
/// is returned only if that holds for every send. Value type, one per request;
/// not thread-safe.
class RequestOutcome {
public:
  RequestOutcome() = default;
  /// @param Repeatable the request may be run more than once.
  /// @param MaxAttempts maximum number of attempts, the first one included.
  RequestOutcome(bool Repeatable, std::uint32_t MaxAttempts)
      : Repeatable(Repeatable), MaxAttempts(MaxAttempts) {}

  /// Records the end of a send.
  void recordResult(SendResult Result) {
    Last = Result;
    if (Result == SendResult::Withheld)
      return;
    if (Result != SendResult::NotSent)
      ++AttemptCount;
    if (Result != SendResult::NotSent && Result != SendResult::Refused)
      MayHaveRun = true;
    if (Result == SendResult::NotSent)
      ++NotSentCount;
  }

  /// @return whether another send is allowed, regardless of retry budget and
  /// time.
  bool mayRetry() const {
    if (AttemptCount >= MaxAttempts || NotSentCount >= MaxNotSent)
      return false;
    return Repeatable || !MayHaveRun;
  }

  /// @param TryAcquireRetry tries to take one retry from the retry budget and
  /// returns whether it could. Called at most once, and only if an attempt was
  /// made before. A send in place of one that was withheld needs none.
  /// @return what follows the last send.
  template <typename TryBudget>
  RetryDecision next(TryBudget TryAcquireRetry) const {
    if (Last == SendResult::Withheld)
      return RetryDecision::Retry;
    if (Last == SendResult::Answered)
      return RetryDecision::Forward;
    bool RetryAllowed = mayRetry() && (AttemptCount == 0 || TryAcquireRetry());
    if (RetryAllowed)
      return RetryDecision::Retry;
    if (Last == SendResult::Failed)
      return RetryDecision::Forward;
    return MayHaveRun ? RetryDecision::ReportUnknownOutcome
                      : RetryDecision::Refuse;
  }

  /// @return whether some target may have run the request.
  bool mayHaveRun() const { return MayHaveRun; }
  /// @return the number of sends that may have reached a target: all that did
  /// not end with `NotSent` or `Withheld`.
  std::uint32_t attemptCount() const { return AttemptCount; }

private:
  /// Sends that may end with `NotSent`, for example because no connection
  /// could be opened, before the request is refused.
  static constexpr std::uint32_t MaxNotSent = 4;

  bool Repeatable = false;
  std::uint32_t MaxAttempts = 1;
  std::uint32_t AttemptCount = 0;
  std::uint32_t NotSentCount = 0;
  bool MayHaveRun = false;
  SendResult Last = SendResult::NotSent;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_REQUEST_OUTCOME_H
