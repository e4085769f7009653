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
StreamForward::forward(TargetSend &Attempt, Clock::time_point Deadline,
                       milliseconds TimeLimit) {
  Splitter.beginResponse();
  HasEvents = false;
  bool Resumes = Begun;
  Result Ended;
  for (;;) {
    TargetSend::Result Received = co_await Attempt.next(Deadline, TimeLimit);
    if (Caller.disconnected())
      co_return Ended;
    // Drop data read before the cancellation; the target that takes over sends
    // it again.
    if (Attempt.isCancelled())
      Received = TargetSend::Result::Broken;
    if (Received == TargetSend::Result::End && brokeOffAtEnd(Attempt))
      Received = TargetSend::Result::Broken;
    bool AtEnd = Received == TargetSend::Result::End;
    if (!AtEnd && Received != TargetSend::Result::Data) {
      Ended.Feedback = feedbackOf(Received, Deadline);
      Attempt.cancel();
      co_return Ended;
    }
    std::string Events;
    if (!AtEnd)
      Events = Splitter.feed(Attempt.bodyData());
    if (Resumes && isNoContinuation(Attempt, Splitter)) {
      Ended.Feedback = TargetFeedback::Failed;
      Attempt.cancel();
      co_return Ended;
    }
    bool WasEvent = !Events.empty();
    if (WasEvent) {
      HasEvents = true;
      Observers.OnEvents();
    }
    if (!Begun && (AtEnd || !Events.empty())) {
      Begun = true;
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
    if (!Events.empty()) {
      recordPause();
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
    if (Splitter.pendingBytes() > MaxEventBytes) {
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

bool StreamForward::brokeOffAtEnd(const TargetSend &Attempt) const {
  // Without a length or chunks, the end of a connection on which nothing came
  // looks like that of a stream without events.
  bool NothingCame = !HasEvents && Attempt.endsWithConnection();
  return NothingCame || Splitter.insideEvent();
}

asio::awaitable<std::optional<TargetFeedback>>
StreamForward::awaitContinuation(TargetSend &Attempt,
                                 Clock::time_point Deadline,
                                 milliseconds TimeLimit) const {
  for (;;) {
    TargetSend::Result Received =
        co_await Attempt.readAhead(Deadline, TimeLimit);
    bool AtEnd = Received == TargetSend::Result::End;
    if (!AtEnd && Received != TargetSend::Result::Data)
      co_return feedbackOf(Received, Deadline);
    Continuation Found = checkAhead(Attempt, AtEnd);
    if (Found == Continuation::Yes)
      co_return std::nullopt;
    if (Found == Continuation::No)
      co_return TargetFeedback::Failed;
    if (AtEnd || Attempt.dataAhead().size() > MaxEventBytes)
      co_return TargetFeedback::Broken;
  }
}

StreamForward::Continuation StreamForward::checkAhead(const TargetSend &Attempt,
                                                      bool AtEnd) const {
  serving::EventSplitter Trial = Splitter;
  Trial.beginResponse();
  bool HasEvent = !Trial.feed(Attempt.dataAhead()).empty();
  if (Begun && isNoContinuation(Attempt, Trial))
    return Continuation::No;
  bool GoesOn =
      Begun ? Trial.lastEventId() != Splitter.lastEventId() : HasEvent;
  // The stream may have nothing left to send but its end.
  bool EndsWell = AtEnd && !Trial.insideEvent() &&
                  (HasEvent || !Attempt.endsWithConnection());
  return GoesOn || EndsWell ? Continuation::Yes : Continuation::Unknown;
}

bool StreamForward::isNoContinuation(
    const TargetSend &Attempt, const serving::EventSplitter &Parsed) const {
  namespace http_ = boost::beast::http;
  auto Type = Attempt.head()[http_::field::content_type];
  bool IsOtherType =
      !Type.empty() && !boost::algorithm::istarts_with(Type, EventStreamType);
  return IsOtherType || Parsed.diverged();
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
