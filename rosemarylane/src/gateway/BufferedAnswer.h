#ifndef ROSEMARYLANE_GATEWAY_BUFFERED_ANSWER_H
#define ROSEMARYLANE_GATEWAY_BUFFERED_ANSWER_H

#include "gateway/TargetSend.h"
#include "serving/LoadBalancer.h"
#include "serving/RequestOutcome.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <optional>
#include <string>

namespace rosemarylane {

/// The response of a target, which is read whole before the caller gets any of
/// it: a truncated one can be retried at another target or reported as failed.
///
/// Used on the thread of the event loop. It must outlive the coroutine that
/// awaits `read`.
class BufferedAnswer {
public:
  using Clock = TargetSend::Clock;

  /// @param Memory accounts for what the response holds. Outlives it.
  explicit BufferedAnswer(http::RequestMemory &Memory) : Held(Memory) {}

  /// How the response ended.
  struct Result {
    serving::SendResult Sent = serving::SendResult::Unknown;
    serving::TargetFeedback Feedback = serving::TargetFeedback::Abandoned;
  };

  /// Reads the response of \p Attempt, whose head was read, in place of the
  /// one before.
  /// @param TimeLimit time limit for the next part of the response.
  boost::asio::awaitable<Result> read(TargetSend &Attempt,
                                      Clock::time_point Deadline,
                                      std::chrono::milliseconds TimeLimit);

  /// Reads the rest of the response of \p Attempt ahead, for `read`.
  /// @return what is wrong with the target; empty if the response is whole.
  static boost::asio::awaitable<std::optional<serving::TargetFeedback>>
  awaitWhole(TargetSend &Attempt, Clock::time_point Deadline,
             std::chrono::milliseconds TimeLimit);

  // Of the response that was read last.
  unsigned status() const { return Status; }
  const platform::HttpFields &head() const { return Head; }
  std::string takeBody() {
    Held.release();
    return std::move(Body);
  }

private:
  unsigned Status = 0;
  platform::HttpFields Head;
  std::string Body;
  http::RequestMemory::Share Held;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_BUFFERED_ANSWER_H
