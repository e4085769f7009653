#ifndef ROSEMARYLANE_GATEWAY_REQUEST_LOG_H
#define ROSEMARYLANE_GATEWAY_REQUEST_LOG_H

#include "gateway/Admission.h"
#include "gateway/GatewayContext.h"
#include "serving/AdmissionQueue.h"
#include "serving/LoadBalancer.h"
#include "serving/RequestOutcome.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace rosemarylane {

/// Writes the log lines of one request: one for each attempt that failed, and
/// one for its end.
///
/// Used on the thread of the event loop. The constructor's arguments must
/// outlive it.
class RequestLog {
public:
  using Clock = std::chrono::steady_clock;

  /// What is known of the last attempt when its failure or the end of the
  /// request is logged.
  struct AttemptState {
    serving::TargetFeedback Feedback = serving::TargetFeedback::Abandoned;
    /// When the attempt began to be written; the epoch if it was not.
    Clock::time_point SentAt{};
    bool AnswerBegun = false;
  };

  /// How the request ended.
  struct End {
    const char *Outcome = "";
    unsigned Status = 0;
    /// When the last attempt began to be written; the epoch if it was not.
    Clock::time_point SentAt{};
    /// Attempts, without those that were withheld.
    std::size_t AttemptCount = 0;
    std::chrono::milliseconds QueueTime{0};
    /// Longest time between two writes of a stream.
    std::chrono::milliseconds LongestPause{0};
    /// Time until the deadline; negative after it.
    std::chrono::milliseconds TimeLeft{0};
  };

  RequestLog(const GatewayContext &Context, const AdmittedRequest &Admitted,
             Clock::time_point StartedAt)
      : Context(Context), Admitted(Admitted), StartedAt(StartedAt) {}

  void recordAttemptBegun(const serving::SelectedTarget &Target,
                          Clock::time_point BegunAt);
  /// @return a name for metrics and log lines.
  static const char *leaveName(serving::DomainLeave Leave);
  void recordConnection(bool Reused) { LastReused = Reused; }
  /// @param Time time from the arrival of the request to the first byte of the
  /// response.
  void recordFirstByte(std::chrono::milliseconds Time) { FirstByte = Time; }

  /// @param Time the `Retry-After` of a refusal.
  void recordRetryAfter(std::chrono::milliseconds Time) { RetryAfter = Time; }
  /// @param Time when the request would have started, by the forecast for which
  /// it was refused at once.
  void recordTurn(std::chrono::milliseconds Time) { Turn = Time; }

  void logFailedAttempt(const serving::SelectedTarget &Target,
                        const AttemptState &Attempt) const;
  /// Logs that \p Target, which was asked beside a silent one, did not take
  /// over.
  /// @param IsWithdrawn the gateway ended the attempt, because another target
  /// went on or the caller left.
  void logStandbyEnd(const serving::SelectedTarget &Target,
                     serving::SendResult Result, bool IsWithdrawn) const;
  /// Logs that the request gave up its place in a queue to a newcomer.
  void logDisplaced(const serving::Displacement &Why) const;
  void logEnd(const End &Ended) const;

private:
  std::chrono::milliseconds elapsed() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                                 StartedAt);
  }
  /// @return the time from the request's arrival to \p SentAt; -1 if that is
  /// the epoch.
  std::int64_t writtenAfterMs(Clock::time_point SentAt) const;

  const GatewayContext &Context;
  const AdmittedRequest &Admitted;
  Clock::time_point StartedAt;
  std::string LastTarget;
  /// Why the last attempt left the failure domain.
  serving::DomainLeave LastLeave = serving::DomainLeave::Stayed;
  /// Whether the last attempt was sent on a pooled connection.
  bool LastReused = false;
  /// When the last attempt began; empty before the first one.
  std::optional<std::chrono::milliseconds> LastSentAfter;
  /// Load of the target of the last attempt, as a fraction of its slots.
  double LastLoad = 0;
  /// Age of that load in milliseconds; -1 before the first attempt.
  std::int64_t LastLoadAgeMs = -1;
  /// Time from the send to the first event, as expected then; -1 if unknown.
  std::int64_t LastExpectedMs = -1;
  /// Time to the first byte of the response; empty before it is sent.
  std::optional<std::chrono::milliseconds> FirstByte;
  std::optional<std::chrono::milliseconds> RetryAfter;
  std::optional<std::chrono::milliseconds> Turn;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_REQUEST_LOG_H
