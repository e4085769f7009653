#ifndef ROSEMARYLANE_GATEWAY_TARGET_ATTEMPT_H
#define ROSEMARYLANE_GATEWAY_TARGET_ATTEMPT_H

#include "gateway/Admission.h"
#include "gateway/CallerConnection.h"
#include "gateway/GatewayContext.h"
#include "gateway/StreamPosition.h"
#include "gateway/TargetSend.h"
#include "serving/LoadBalancer.h"
#include "serving/RequestOutcome.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <optional>
#include <string>

namespace rosemarylane {

/// One attempt of a request at one selected target: what was sent, how it went,
/// and what the load balancer is told about the target at its end.
///
/// Call `open`, read the body from `send()`, then `recordEnd`. It can be ended
/// before: `giveUp` counts the target as silent, `withdraw` says nothing about
/// it. An attempt that `open` withholds has sent nothing. Used on the
/// thread of the event loop. The constructor's arguments must outlive it, and
/// it must outlive the coroutine that awaits `open`.
class TargetAttempt {
public:
  using Clock = TargetSend::Clock;

  /// The request that is attempted.
  struct Source {
    GatewayContext &Context;
    const AdmittedRequest &Admitted;
    const CallerConnection::Request &Request;
    Clock::time_point Deadline;
  };

  TargetAttempt(const Source &From, serving::SelectedTarget Selected)
      : From(From), Selected(std::move(Selected)),
        Send(From.Context, this->Selected) {}

  /// Sends the request and reads the head of its response.
  /// @param Demand what the request requires of its target. Both arguments must
  /// stay valid until the coroutine ends.
  /// @param ResumeAfter id of the event after which a stream goes on; empty
  /// for a new response.
  /// @return how the attempt ended; empty if the head was read.
  boost::asio::awaitable<std::optional<serving::SendResult>>
  open(const serving::TargetRequirements &Demand,
       const std::string &ResumeAfter);

  /// Goes on waiting for the head, after `pause`.
  boost::asio::awaitable<std::optional<serving::SendResult>> reopen();

  /// Ends the wait of `open`, or of the reader of the body, because another
  /// target goes on with the response first. The attempt stays in reserve:
  /// nothing more is sent to its target, and its connection stays open.
  /// @return whether it could; otherwise nothing is done.
  bool pause() { return Send.pause(); }
  /// Reports to the load balancer that the target is silent, once.
  /// @return whether this was the first time.
  bool reportSilent();

  /// Ends the attempt because its target is silent and another one answers.
  void giveUp();
  /// Ends the attempt because it isn't needed; says nothing about its target.
  void withdraw();
  bool isWithdrawn() const { return Withdrawn; }

  /// Records whether the target has made no progress for so long that another
  /// one was asked.
  void setSilent(bool Silent) { IsSilent = Silent; }
  bool isSilent() const { return IsSilent; }

  /// Tells the load balancer how the attempt ended.
  void recordEnd(serving::SendResult Result);

  /// Sets what the load balancer is told, unless the attempt was withdrawn.
  void setFeedback(serving::TargetFeedback About);
  serving::TargetFeedback feedback() const { return Feedback; }

  /// Records that the target has sent at least one whole event, or the head of
  /// a response that is not a stream.
  void setAnswerBegun() { AnswerBegun = true; }
  bool answerBegun() const { return AnswerBegun; }

  /// @return whether the head of the response was read.
  bool hasHead() const { return HasHead; }
  /// How far the target has got with a stream.
  StreamPosition &position() { return Position; }

  const serving::SelectedTarget &target() const { return Selected; }
  TargetSend &send() { return Send; }
  const TargetSend &send() const { return Send; }
  /// @return when the target was selected.
  Clock::time_point begunAt() const { return BegunAt; }
  /// @return when the request began to be written; the epoch if it was not.
  Clock::time_point sentAt() const { return SentAt; }

private:
  /// @return when the attempt ends without a response head.
  Clock::time_point headDeadline() const;
  /// @return what the target is told about the request.
  platform::TargetMarks marks(const std::string &ResumeAfter) const;
  /// @return how the attempt ended, after `start` or `resumeHead`; empty if the
  /// head was read or the wait was paused.
  std::optional<serving::SendResult> classify(TargetSend::Result Received);
  /// Takes the head of the response that was read.
  std::optional<serving::SendResult> classifyHead();
  bool deadlinePassed() const { return Clock::now() >= From.Deadline; }

  Source From;
  serving::SelectedTarget Selected;
  TargetSend Send;
  Clock::time_point BegunAt = Clock::now();
  Clock::time_point SentAt{};
  serving::TargetFeedback Feedback = serving::TargetFeedback::Abandoned;
  bool AnswerBegun = false;
  bool IsSilent = false;
  bool GivenUp = false;
  bool Withdrawn = false;
  bool HasHead = false;
  bool SilenceReported = false;
  StreamPosition Position;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_TARGET_ATTEMPT_H
