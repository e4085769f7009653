#include "gateway/StreamForward.h"

#include <boost/algorithm/string/predicate.hpp>

namespace rosemarylane {

namespace asio = boost::asio;
using serving::SendResult;
using serving::TargetFeedback;
using std::chrono::milliseconds;

namespace {

/// Limit of the size of one event of a stream. A larger one is handled like a
/// connection that broke.
constexpr std::size_t MaxEventBytes = 1 << 20;
constexpr char EventStreamType[] = "text/event-stream";

TargetFeedback feedbackOf(TargetSend::Result Failure,
                          StreamForward::Clock::time_point Deadline) {
  if (StreamForward::Clock::now() >= Deadline)
    return TargetFeedback::Abandoned;
  return Failure == TargetSend::Result::TimedOut ? TargetFeedback::Silent
                                                 : TargetFeedback::Broken;
}

} // namespace

asio::awaitable<StreamForward::Result>
StreamForward::forward(TargetSend &Attempt, StreamPosition &At,
                       Clock::time_point Deadline, milliseconds TimeLimit) {
  Splitter.beginResponse();
  Result Ended;
  for (;;) {
    if (At.ahead().empty() && !At.HasEnded) {
      Waiting = true;
      TargetSend::Result Received = co_await Attempt.next(Deadline, TimeLimit);
      Waiting = false;
      if (Caller.disconnected())
        co_return Ended;
      if (Received == TargetSend::Result::Paused) {
        Ended.Paused = true;
        co_return Ended;
      }
      // Drop data read before the cancellation; the target that takes over
      // sends it again.
      if (Attempt.isCancelled())
        Received = TargetSend::Result::Broken;
      auto Fault = take(Attempt, At, Received, Deadline);
      if (Fault) {
        Ended.Feedback = *Fault;
        Attempt.cancel();
        co_return Ended;
      }
      if (Attempt.isPaused()) {
        Ended.Paused = true;
        co_return Ended;
      }
    }
    std::string Events = Splitter.feed(At.takeAhead());
    if (Begun && Splitter.diverged()) {
      Ended.Feedback = TargetFeedback::Failed;
      Attempt.cancel();
      co_return Ended;
    }
    At.moveTo(Splitter.lastEventId());
    bool AtEnd = At.HasEnded;
    bool WasEvent = !Events.empty();
    if (WasEvent)
      Observers.OnEvents();
    if (!Begun && (AtEnd || WasEvent)) {
      Begun = true;
      At.HasBegunAnswer = true;
      Version = Attempt.headerValues().Version;
      Observers.OnFirstByte();
      platform::HttpFields Head = platform::callerFields(Attempt.head());
      bool Started = co_await Caller.startStream(Attempt.status(), Head);
      if (!Started) {
        Caller.abort();
        Ended.Outcome = "caller left";
        co_return Ended;
      }
    }
    bool Delivered = true;
    if (WasEvent) {
      recordPause();
      WrittenBytes += Events.size();
      Delivered = co_await Caller.writeChunk(std::move(Events));
    }
    if (!Delivered) {
      Caller.abort();
      Ended.Outcome = "caller left";
      co_return Ended;
    }
    if (AtEnd)
      break;
    if (WasEvent)
      Observers.OnWritten();
    if (At.pendingBytes() > MaxEventBytes) {
      Ended.Feedback = TargetFeedback::Broken;
      Attempt.cancel();
      co_return Ended;
    }
  }
  Attempt.release();
  bool Completed = co_await Caller.finishStream();
  Ended.Sent = SendResult::Answered;
  Ended.Feedback = TargetFeedback::Served;
  Ended.Outcome = Completed ? "served" : "caller left";
  Ended.Status = 200;
  co_return Ended;
}

std::optional<TargetFeedback>
StreamForward::take(const TargetSend &Attempt, StreamPosition &At,
                    TargetSend::Result Received,
                    Clock::time_point Deadline) const {
  bool AtEnd = Received == TargetSend::Result::End;
  if (!AtEnd && Received != TargetSend::Result::Data)
    return feedbackOf(Received, Deadline);
  if (!AtEnd)
    At.feed(Attempt.bodyData());
  At.dropUpTo(Splitter.lastEventId());
  if (Begun && isNoContinuation(Attempt, At))
    return TargetFeedback::Failed;
  if (!AtEnd)
    return std::nullopt;
  bool IsShort = At.ahead().empty() && !At.isAt(Splitter.lastEventId());
  if (IsShort || brokeOffAtEnd(Attempt, At))
    return TargetFeedback::Broken;
  At.HasEnded = true;
  return std::nullopt;
}

bool StreamForward::brokeOffAtEnd(const TargetSend &Attempt,
                                  const StreamPosition &At) const {
  // Without a length or chunks, the end of a connection on which nothing came
  // looks like that of a stream without events.
  bool NothingCame = !At.hasEvents() && Attempt.endsWithConnection();
  return NothingCame || At.insideEvent();
}

asio::awaitable<std::optional<TargetFeedback>>
StreamForward::awaitContinuation(TargetSend &Attempt, StreamPosition &At,
                                 Clock::time_point Deadline,
                                 milliseconds TimeLimit) const {
  while (!isAhead(At)) {
    TargetSend::Result Received = co_await Attempt.next(Deadline, TimeLimit);
    auto Fault = take(Attempt, At, Received, Deadline);
    if (Fault)
      co_return Fault;
    if (At.pendingBytes() > MaxEventBytes)
      co_return TargetFeedback::Broken;
  }
  co_return std::nullopt;
}

bool StreamForward::isAhead(StreamPosition &At) const {
  At.dropUpTo(Splitter.lastEventId());
  At.dropComments();
  bool EndsHere = At.HasEnded && At.isAt(Splitter.lastEventId());
  return !At.ahead().empty() || EndsHere;
}

bool StreamForward::isNoContinuation(const TargetSend &Attempt,
                                     const StreamPosition &At) const {
  namespace http_ = boost::beast::http;
  if (At.HasBegunAnswer)
    return At.diverged();
  auto Type = Attempt.head()[http_::field::content_type];
  bool IsOtherType =
      !Type.empty() && !boost::algorithm::istarts_with(Type, EventStreamType);
  // A target that goes on was asked for the version that the stream began with;
  // one that was asked before that was not.
  bool IsOtherVersion =
      At.isWhole() && Attempt.headerValues().Version != Version;
  return IsOtherType || IsOtherVersion || At.diverged();
}

void StreamForward::recordPause() {
  Clock::time_point Now = Clock::now();
  if (LastDataAt != Clock::time_point())
    LongestPause =
        std::max(LongestPause,
                 std::chrono::duration_cast<milliseconds>(Now - LastDataAt));
  LastDataAt = Now;
}

} // namespace rosemarylane
