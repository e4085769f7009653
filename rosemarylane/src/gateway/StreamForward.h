#ifndef ROSEMARYLANE_GATEWAY_STREAM_FORWARD_H
#define ROSEMARYLANE_GATEWAY_STREAM_FORWARD_H

#include "gateway/CallerConnection.h"
#include "gateway/StreamPosition.h"
#include "gateway/TargetSend.h"
#include "serving/EventSplitter.h"
#include "serving/LoadBalancer.h"
#include "serving/RequestOutcome.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace rosemarylane {

/// Forwards the stream of server-sent events of one request to its caller.
/// Another target can resume the stream where the last one broke off.
///
/// Used on the thread of the event loop. \p Caller must outlive it, and it must
/// outlive the coroutine that awaits `forward`.
class StreamForward {
public:
  using Clock = TargetSend::Clock;

  struct Hooks {
    /// The target has sent whole events, which are about to be sent to the
    /// caller; called each time.
    std::function<void()> OnEvents;
    /// The caller's connection has taken them; the target is waited for again.
    std::function<void()> OnWritten;
    /// The head of the response is about to be sent to the caller.
    std::function<void()> OnFirstByte;
  };

  /// How the forwarding of one target's response ended.
  struct Result {
    serving::SendResult Sent = serving::SendResult::Unknown;
    serving::TargetFeedback Feedback = serving::TargetFeedback::Abandoned;
    /// The outcome of the request; null if the response to the caller has not
    /// ended.
    const char *Outcome = nullptr;
    unsigned Status = 0;
    /// The attempt was paused and can be forwarded again later.
    bool Paused = false;
  };

  StreamForward(CallerConnection &Caller, Hooks ToCall)
      : Caller(Caller), Observers(std::move(ToCall)) {}

  /// Forwards the response of \p Attempt, whose head was read.
  /// @param At how far the target has got; must stay valid until the coroutine
  /// ends.
  /// @param TimeLimit time limit for the next part of the response.
  boost::asio::awaitable<Result> forward(TargetSend &Attempt,
                                         StreamPosition &At,
                                         Clock::time_point Deadline,
                                         std::chrono::milliseconds TimeLimit);

  /// Reads the response of \p Attempt, which is not the one that is forwarded,
  /// until it has what the caller has not got: an event or the end.
  /// @return what is wrong with the target; empty if the response is good.
  boost::asio::awaitable<std::optional<serving::TargetFeedback>>
  awaitContinuation(TargetSend &Attempt, StreamPosition &At,
                    Clock::time_point Deadline,
                    std::chrono::milliseconds TimeLimit) const;

  /// @return whether the target still has what the caller has not got.
  bool isAhead(StreamPosition &At) const;

  /// @return where a target begins that is asked now.
  StreamPosition position() const { return StreamPosition(Splitter); }

  /// @return whether the target that is forwarded is waited for.
  bool isWaiting() const { return Waiting; }

  /// @return whether the caller has been sent the head of the response.
  bool begun() const { return Begun; }
  /// @return whether the next target can be told where to go on, if the caller
  /// has got anything.
  bool canResume() const { return !Begun || Splitter.resumable(); }
  /// @return the id after which the next target goes on; empty if the caller
  /// has got nothing.
  std::string resumeAfter() const {
    return Begun ? Splitter.lastEventId() : "";
  }
  /// @return the version that the response began with; 0 before that.
  std::uint64_t version() const { return Begun ? Version : 0; }
  /// @return the bytes of the events that were sent to the caller.
  std::uint64_t writtenBytes() const { return WrittenBytes; }
  /// @return the longest time between two writes.
  std::chrono::milliseconds longestPause() const { return LongestPause; }

private:
  /// Takes what was read from a target.
  /// @return what is wrong with the target; empty if nothing is.
  std::optional<serving::TargetFeedback> take(const TargetSend &Attempt,
                                              StreamPosition &At,
                                              TargetSend::Result Received,
                                              Clock::time_point Deadline) const;
  /// @return whether a stream whose response has ended was broken off.
  bool brokeOffAtEnd(const TargetSend &Attempt, const StreamPosition &At) const;
  /// @return whether the stream that the caller is getting cannot go on with
  /// what the target has sent so far.
  bool isNoContinuation(const TargetSend &Attempt,
                        const StreamPosition &At) const;
  void recordPause();

  CallerConnection &Caller;
  Hooks Observers;
  /// The events that the caller has got. Only complete events are forwarded, so
  /// that another target can go on after the last.
  serving::EventSplitter Splitter;
  bool Begun = false;
  bool Waiting = false;
  std::uint64_t Version = 0;
  std::uint64_t WrittenBytes = 0;
  /// Longest time between two writes.
  std::chrono::milliseconds LongestPause{0};
  Clock::time_point LastDataAt{};
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_STREAM_FORWARD_H
