#include "gateway/TargetAttempt.h"

#include <algorithm>

namespace rosemarylane {

namespace asio = boost::asio;
using core::BootClock;
using core::BootTime;
using serving::SendResult;
using serving::TargetFeedback;
using std::chrono::milliseconds;

TargetAttempt::Clock::time_point TargetAttempt::headDeadline() const {
  // The target must start the request by `StartDeadline`, shortly before a
  // version of the weights that is newer than the target's takes effect. The
  // response head is awaited no longer than that.
  if (!Selected.StartDeadline)
    return From.Deadline;
  auto Left = std::chrono::duration_cast<milliseconds>(*Selected.StartDeadline -
                                                       BootClock::now());
  return std::min(From.Deadline, Clock::now() + Left);
}

platform::TargetMarks
TargetAttempt::marks(const std::string &ResumeAfter) const {
  platform::TargetMarks Marks;
  Marks.TimeLeft = std::max(
      milliseconds(1),
      std::chrono::duration_cast<milliseconds>(From.Deadline - Clock::now()));
  Marks.Target = Selected.Id;
  Marks.Workspace = From.Admitted.Workspace;
  Marks.Priority = From.Admitted.Priority;
  // Whether the request names a model; it does not for plain services.
  Marks.ForModel = !From.Admitted.HeaderValues.Model.empty();
  Marks.Version = Selected.VersionRequired ? Selected.Version : 0;
  Marks.ContinueAfter = ResumeAfter;
  return Marks;
}

asio::awaitable<std::optional<SendResult>>
TargetAttempt::open(const serving::TargetRequirements &Demand,
                    const std::string &ResumeAfter) {
  const serving::LoadBalancer &Targets = From.Context.Targets;
  if (!Targets.maySend(Selected, Demand, BootClock::now()))
    co_return SendResult::Withheld;
  Clock::time_point HeadDeadline = headDeadline();
  bool Connected =
      co_await Send.connect(!From.Admitted.Route->repeatable(), HeadDeadline);
  if (!Connected) {
    setFeedback(Clock::now() >= HeadDeadline ? TargetFeedback::Abandoned
                                             : TargetFeedback::Broken);
    co_return SendResult::NotSent;
  }
  // Connecting may have taken a while.
  if (!Targets.maySend(Selected, Demand, BootClock::now())) {
    Send.releaseUnused();
    co_return SendResult::Withheld;
  }
  auto Fields = platform::targetFields(From.Request.base(), marks(ResumeAfter));
  SentAt = Clock::now();
  TargetSend::Result Result = co_await Send.start(
      From.Request, Fields, From.Admitted.HeaderValues.Id, HeadDeadline);
  co_return classify(Result);
}

asio::awaitable<std::optional<SendResult>> TargetAttempt::reopen() {
  Send.resume();
  TargetSend::Result Result =
      co_await Send.resumeHead(From.Admitted.HeaderValues.Id);
  co_return classify(Result);
}

std::optional<SendResult> TargetAttempt::classify(TargetSend::Result Received) {
  switch (Received) {
  case TargetSend::Result::NotSent:
    return SendResult::NotSent;
  case TargetSend::Result::Broken:
  case TargetSend::Result::End:
    setFeedback(deadlinePassed() ? TargetFeedback::Abandoned
                                 : TargetFeedback::Broken);
    return SendResult::Unknown;
  case TargetSend::Result::TimedOut:
    setFeedback(deadlinePassed() ? TargetFeedback::Abandoned
                                 : TargetFeedback::Silent);
    return SendResult::Unknown;
  case TargetSend::Result::Paused:
    return std::nullopt;
  case TargetSend::Result::Data:
    break;
  }
  return classifyHead();
}

std::optional<SendResult> TargetAttempt::classifyHead() {
  HasHead = true;
  const std::optional<serving::LoadReport> &Load = Send.headerValues().Load;
  if (Load && Load->StatesSlowness)
    From.Context.Targets.recordSlowness(Selected.Id, Load->Slowness,
                                        BootClock::now());
  From.Context.Limits->heard(Selected, Send.headerValues().RateLimit);
  if (Send.headerValues().NotRun) {
    // 421 (Misdirected Request): the target at this address was restarted or
    // has another version of the weights. Any other refusal is taken as a lack
    // of capacity.
    setFeedback(Send.status() == 421 ? TargetFeedback::Mismatch
                                     : TargetFeedback::Full);
    return SendResult::Refused;
  }
  auto Duration =
      std::chrono::duration_cast<milliseconds>(Clock::now() - SentAt);
  From.Context.Targets.recordResponseTime(Selected.Id, Duration,
                                          BootClock::now());
  return std::nullopt;
}

bool TargetAttempt::reportSilent() {
  if (SilenceReported)
    return false;
  SilenceReported = true;
  From.Context.Targets.recordSilence(Selected.Id, BootClock::now());
  From.Context.TargetConnections.closeIdle(Selected.Id);
  return true;
}

void TargetAttempt::giveUp() {
  GivenUp = true;
  Send.cancel();
}

void TargetAttempt::withdraw() {
  Withdrawn = true;
  Feedback = TargetFeedback::Abandoned;
  Send.cancel();
}

void TargetAttempt::setFeedback(TargetFeedback About) {
  if (Withdrawn)
    return;
  Feedback = About;
  if (GivenUp && Feedback == TargetFeedback::Broken)
    Feedback = TargetFeedback::Silent;
  // The deadline passed before another target took over.
  if (IsSilent && deadlinePassed() && Feedback == TargetFeedback::Abandoned)
    Feedback = TargetFeedback::Silent;
  if (SilenceReported && Feedback == TargetFeedback::Silent)
    Feedback = TargetFeedback::Abandoned;
}

void TargetAttempt::recordEnd(SendResult Result) {
  serving::LoadBalancer &Targets = From.Context.Targets;
  BootTime Now = BootClock::now();
  const platform::AnswerMarks &HeaderValues = Send.headerValues();
  bool HasResponse = Result == SendResult::Answered ||
                     Result == SendResult::Refused ||
                     Result == SendResult::Failed;
  Targets.recordResult(Selected.Id, Feedback, Now);
  if (HasResponse && HeaderValues.Load)
    Targets.updateLoad(Selected.Id, *HeaderValues.Load, Now);
  if (HasResponse && HeaderValues.WarmupLeft)
    Targets.updateWarmup(Selected.Id, *HeaderValues.WarmupLeft, Now);
  if (Feedback == TargetFeedback::Silent || Feedback == TargetFeedback::Broken)
    From.Context.TargetConnections.closeIdle(Selected.Id);
  From.Context.advanceWaitQueues();
}

} // namespace rosemarylane
