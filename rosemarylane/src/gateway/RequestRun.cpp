#include "gateway/RequestRun.h"

#include "gateway/Admission.h"
#include "gateway/TargetSend.h"
#include "serving/EventSplitter.h"
#include "serving/RequestOutcome.h"
#include "telemetry/Log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rosemarylane {

namespace asio = boost::asio;
using core::BootClock;
using core::BootTime;
using serving::RetryDecision;
using serving::SendResult;
using serving::TargetFeedback;
using std::chrono::milliseconds;
using Clock = TargetSend::Clock;

namespace {

/// A repeatable request is sent elsewhere after so long without a sign of its
/// answer.
constexpr milliseconds StreamPatience{1500};
constexpr milliseconds PlainPatience{700};
/// The same between two events of a stream.
constexpr milliseconds EventPatience{1100};
/// What a busy engine takes for one token of an answer.
constexpr milliseconds TimePerToken{8};
/// Answers of plain services are collected up to this size, so that one that
/// breaks off can be tried elsewhere or reported as failed.
constexpr std::size_t MaxCollectedBytes = 1 << 20;
/// A refused caller is asked to come back after a time drawn from this range.
constexpr milliseconds FirstReturn{500};
constexpr milliseconds LastReturn{1900};

std::string retryAfterSeconds(double Random) {
  double Milliseconds =
      FirstReturn.count() +
      Random * static_cast<double>((LastReturn - FirstReturn).count());
  std::string Text = std::to_string(Milliseconds / 1000);
  return Text.substr(0, Text.find('.') + 3);
}

/// One request from its admission to the end of its answer.
class RequestRun {
public:
  RequestRun(GatewayContext &Context, std::shared_ptr<CallerConnection> Caller,
             CallerConnection::Request &Request)
      : Context(Context), Caller(std::move(Caller)), Request(Request),
        Started(Clock::now()), Timer(Context.Loop) {}

  asio::awaitable<void> run();

private:
  // Steps of the run.
  asio::awaitable<void> serve();
  asio::awaitable<std::optional<serving::SelectedTarget>> takeTarget();
  std::optional<serving::SelectedTarget> choose();
  asio::awaitable<SendResult> sendOnce(const serving::SelectedTarget &Target);
  asio::awaitable<SendResult> relay(const serving::SelectedTarget &Target);
  asio::awaitable<SendResult> collectAnswer();
  asio::awaitable<SendResult> passStream();
  asio::awaitable<void> passCollected();
  void noteResponse(const serving::SelectedTarget &Target);
  void noteEnd(const serving::SelectedTarget &Target, SendResult End);

  // Ends of the run.
  asio::awaitable<void> refuse(unsigned Status, const char *Why);
  asio::awaitable<void> fail();
  void abortStream(const char *Why);
  void noteFirstByte();
  void notePart();
  void finish(const char *Outcome, unsigned Status);

  bool timeUp() const { return Clock::now() >= Until; }
  milliseconds elapsed() const {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - Started);
  }
  bool streaming() const {
    return Admitted.Route->Kind == serving::RequestKind::Streaming;
  }

  GatewayContext &Context;
  std::shared_ptr<CallerConnection> Caller;
  CallerConnection::Request &Request;
  Clock::time_point Started;
  Clock::time_point Until{};
  Clock::time_point SentAt{};
  asio::steady_timer Timer;

  AdmittedRequest Admitted;
  serving::RequestOutcome Outcome;
  std::vector<serving::TargetId> Tried;
  serving::SelectionFailure Why = serving::SelectionFailure::Unavailable;
  std::unique_ptr<TargetSend> Send;
  TargetFeedback LastSend = TargetFeedback::Abandoned;
  std::string LastTarget;
  double LastLoad = 0;
  std::int64_t LastLoadAge = -1;
  milliseconds Waited{0};
  /// Time until the first byte of the answer left; absent before.
  std::optional<milliseconds> FirstByte;
  /// The longest pause between two parts of a stream.
  milliseconds LongestPause{0};
  Clock::time_point LastPart{};

  // The answer on its way to the caller.
  bool HeadPassed = false;
  serving::EventSplitter Events;
  std::uint64_t AnswerVersion = 0;
  unsigned CollectedStatus = 0;
  platform::HttpFields CollectedHead;
  std::string CollectedBody;
  bool Finished = false;
};

asio::awaitable<void> RequestRun::run() {
  Admission Decision = admitRequest(Context, Request);
  Admitted = std::move(Decision.Request);
  if (Decision.Status != 0) {
    co_await refuse(Decision.Status, Decision.Why);
    co_return;
  }
  Until = Started + Admitted.TimeLeft;
  Outcome = serving::RequestOutcome(Admitted.Route->repeatable(),
                                    Admitted.Route->MaxAttempts);
  Context.retries(Admitted.Service).recordFirstAttempt();
  Caller->onGone([this] {
    Timer.cancel();
    if (Send)
      Send->cancel();
  });
  co_await serve();
  Caller->onGone(nullptr);
  if (!Finished)
    finish(Caller->gone() ? "caller left" : "ended", 0);
}

asio::awaitable<void> RequestRun::serve() {
  for (;;) {
    auto Target = co_await takeTarget();
    if (Caller->gone()) {
      if (Target)
        Context.Board.recordResult(Target->Id, TargetFeedback::Abandoned,
                                   BootClock::now());
      co_return;
    }
    if (!Target) {
      if (HeadPassed)
        abortStream("no target goes on with the stream");
      else if (Outcome.mayHaveRun())
        co_await fail();
      else
        co_await refuse(503, Why == serving::SelectionFailure::Full
                                 ? "no free place"
                                 : "no usable target");
      co_return;
    }
    SendResult End = co_await sendOnce(*Target);
    if (Caller->gone() || Finished)
      co_return;
    Outcome.recordResult(End);
    RetryDecision Step = Outcome.next([&] {
      return !timeUp() && Context.retries(Admitted.Service)
                              .tryAcquireRetry(BootClock::now());
    });
    if (Step == RetryDecision::Retry && timeUp())
      Step = Outcome.mayHaveRun() ? RetryDecision::Fail : RetryDecision::Refuse;
    switch (Step) {
    case RetryDecision::Forward:
      if (!HeadPassed)
        co_await passCollected();
      else
        abortStream("target failed while going on with the stream");
      co_return;
    case RetryDecision::Retry:
      Context.Metrics.sent(true);
      continue;
    case RetryDecision::Refuse:
      if (HeadPassed)
        abortStream("target refused to go on with the stream");
      else
        co_await refuse(503, "targets refused");
      co_return;
    case RetryDecision::Fail:
      if (HeadPassed)
        abortStream("stream broke off");
      else
        co_await fail();
      co_return;
    }
  }
}

std::optional<serving::SelectedTarget> RequestRun::choose() {
  serving::TargetRequirements Demand;
  Demand.Service = Admitted.Service;
  Demand.AllowedRegions = Admitted.AllowedRegions;
  Demand.Model = Admitted.Marks.Model;
  Demand.Tried = &Tried;
  Demand.ExpectedDuration = TimePerToken * Admitted.Marks.ExpectedTokens;
  Demand.ExactVersion = HeadPassed ? AnswerVersion : 0;
  return Context.Board.choose(Demand, BootClock::now(), Context.random(), Why);
}

asio::awaitable<std::optional<serving::SelectedTarget>>
RequestRun::takeTarget() {
  serving::AdmissionQueue &Line = Context.line(Admitted.Service);
  std::optional<serving::SelectedTarget> Taken;
  if (Line.size() == 0) {
    Taken = choose();
    if (Taken || Why != serving::SelectionFailure::Full)
      co_return Taken;
  }
  auto MayWait = std::chrono::duration_cast<Clock::duration>(
      Admitted.Route->LatencyTarget *
      Context.Settings.Limits.MaxQueueTimeShare);
  auto WaitUntil = std::min(Until, Started + MayWait);
  if (Clock::now() >= WaitUntil)
    co_return choose();
  auto Place = Line.enqueue(Admitted.Priority, [&] {
    Taken = choose();
    if (Taken)
      Timer.cancel();
    return Taken.has_value();
  });
  if (!Place) {
    Why = serving::SelectionFailure::Full;
    co_return std::nullopt;
  }
  auto Joined = Clock::now();
  Timer.expires_at(WaitUntil);
  Line.dispatch();
  if (!Taken)
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  auto Time = std::chrono::duration_cast<milliseconds>(Clock::now() - Joined);
  Waited += Time;
  Context.Metrics.waited(Time);
  co_return Taken;
}

asio::awaitable<SendResult>
RequestRun::sendOnce(const serving::SelectedTarget &Target) {
  LastTarget = Target.Id.str();
  LastLoad = Target.Load;
  LastLoadAge = Target.LoadAge.count();
  Tried.push_back(Target.Id);
  SendResult End = co_await relay(Target);
  if (Caller->gone()) {
    LastSend = TargetFeedback::Abandoned;
    Send->cancel();
  }
  noteEnd(Target, End);
  Send.reset();
  co_return End;
}

void RequestRun::noteResponse(const serving::SelectedTarget &Target) {
  auto Took = std::chrono::duration_cast<milliseconds>(Clock::now() - SentAt);
  Context.Board.recordResponseTime(Target.Id, Took, BootClock::now());
}

void RequestRun::noteEnd(const serving::SelectedTarget &Target,
                         SendResult End) {
  BootTime Now = BootClock::now();
  const platform::AnswerMarks &Marks = Send->marks();
  bool HasHead = End == SendResult::Answered || End == SendResult::Rejected ||
                 End == SendResult::Failed;
  Context.Board.recordResult(Target.Id, LastSend, Now);
  if (HasHead && Marks.Load)
    Context.Board.updateLoad(Target.Id, *Marks.Load, Now);
  if (HasHead && Marks.WarmupLeft)
    Context.Board.updateWarmup(Target.Id, *Marks.WarmupLeft, Now);
  if (LastSend == TargetFeedback::Silent || LastSend == TargetFeedback::Broken)
    Context.Pool.drop(Target.Id);
  Context.advanceLines();
}

asio::awaitable<SendResult>
RequestRun::relay(const serving::SelectedTarget &Target) {
  Send = std::make_unique<TargetSend>(Context, Target);
  platform::TargetMarks Marks;
  Marks.TimeLeft =
      std::max(milliseconds(1),
               std::chrono::duration_cast<milliseconds>(Until - Clock::now()));
  Marks.Target = Target.Id;
  Marks.Workspace = Admitted.Workspace;
  Marks.Priority = Admitted.Priority;
  Marks.ForModel = !Admitted.Marks.Model.empty();
  Marks.Version = Target.VersionRequired ? Target.Version : 0;
  Marks.ContinueAfter = HeadPassed ? Events.lastEventId() : "";
  bool MoreAllowed = Admitted.Route->repeatable() &&
                     Outcome.deliveredSends() + 1 < Admitted.Route->MaxAttempts;
  // Also a request that waits inside a target must begin in time.
  milliseconds Patience = !MoreAllowed  ? Admitted.TimeLeft
                          : streaming() ? StreamPatience
                                        : PlainPatience;
  if (Target.StartDeadline)
    Patience =
        std::min(Patience, std::chrono::duration_cast<milliseconds>(
                               *Target.StartDeadline - BootClock::now()));
  auto Fields = platform::targetFields(Request.base(), Marks);
  SentAt = Clock::now();
  TargetSend::Step Step =
      co_await Send->start(Request, Fields, Admitted.Marks.Id,
                           !Admitted.Route->repeatable(), Until, Patience);
  switch (Step) {
  case TargetSend::Step::NotSent:
    LastSend = TargetFeedback::Broken;
    co_return SendResult::NotSent;
  case TargetSend::Step::Broken:
  case TargetSend::Step::End:
    LastSend = timeUp() ? TargetFeedback::Abandoned : TargetFeedback::Broken;
    co_return SendResult::Unknown;
  case TargetSend::Step::Silent:
    LastSend = timeUp() ? TargetFeedback::Abandoned : TargetFeedback::Silent;
    co_return SendResult::Unknown;
  case TargetSend::Step::Got:
    break;
  }
  if (Send->marks().NotRun) {
    LastSend =
        Send->status() == 421 ? TargetFeedback::Mismatch : TargetFeedback::Full;
    co_return SendResult::Rejected;
  }
  noteResponse(Target);
  if (streaming() && Send->status() == 200)
    co_return co_await passStream();
  co_return co_await collectAnswer();
}

asio::awaitable<SendResult> RequestRun::collectAnswer() {
  CollectedBody.clear();
  CollectedStatus = Send->status();
  CollectedHead = platform::callerFields(Send->head());
  for (;;) {
    TargetSend::Step Step = co_await Send->next(
        Until, Until - Clock::now() > milliseconds(0) ? Admitted.TimeLeft
                                                      : milliseconds(0));
    if (Step == TargetSend::Step::End)
      break;
    bool TooLarge = CollectedBody.size() > MaxCollectedBytes;
    if (Step != TargetSend::Step::Got || TooLarge) {
      LastSend = timeUp() ? TargetFeedback::Abandoned : TargetFeedback::Broken;
      co_return SendResult::Unknown;
    }
    CollectedBody += Send->part();
  }
  bool OwnFailure = CollectedStatus >= 500;
  LastSend = OwnFailure ? TargetFeedback::Failed : TargetFeedback::Served;
  Send->release();
  co_return OwnFailure ? SendResult::Failed : SendResult::Answered;
}

asio::awaitable<SendResult> RequestRun::passStream() {
  bool MoreAllowed = Admitted.Route->repeatable() &&
                     Outcome.deliveredSends() + 1 < Admitted.Route->MaxAttempts;
  Events.discardPending();
  for (;;) {
    milliseconds Patience = MoreAllowed ? EventPatience : Admitted.TimeLeft;
    TargetSend::Step Step = co_await Send->next(Until, Patience);
    if (Caller->gone())
      co_return SendResult::Unknown;
    bool AtEnd = Step == TargetSend::Step::End;
    if (!AtEnd && Step != TargetSend::Step::Got) {
      LastSend = timeUp()                           ? TargetFeedback::Abandoned
                 : Step == TargetSend::Step::Silent ? TargetFeedback::Silent
                                                    : TargetFeedback::Broken;
      Send->cancel();
      co_return SendResult::Unknown;
    }
    std::string Out =
        AtEnd ? Events.takeRemainder() : Events.feed(Send->part());
    if (!HeadPassed && (AtEnd || !Out.empty())) {
      HeadPassed = true;
      AnswerVersion = Send->marks().Version;
      noteFirstByte();
      if (!co_await Caller->startStream(Send->status(),
                                        platform::callerFields(Send->head())))
        co_return SendResult::Unknown;
    }
    bool Taken = true;
    if (!Out.empty()) {
      notePart();
      Taken = co_await Caller->writePart(std::move(Out));
    }
    if (!Taken) {
      LastSend = TargetFeedback::Abandoned;
      Caller->abort();
      finish("caller left", 0);
      co_return SendResult::Unknown;
    }
    if (AtEnd)
      break;
  }
  LastSend = TargetFeedback::Served;
  Send->release();
  bool Left = co_await Caller->finishStream();
  finish(Left ? "served" : "caller left", 200);
  co_return SendResult::Answered;
}

asio::awaitable<void> RequestRun::passCollected() {
  noteFirstByte();
  bool Left = co_await Caller->respond(CollectedStatus, CollectedHead,
                                       std::move(CollectedBody));
  finish(!Left                   ? "caller left"
         : CollectedStatus < 400 ? "served"
                                 : "answered",
         CollectedStatus);
}

asio::awaitable<void> RequestRun::refuse(unsigned Status, const char *Reason) {
  platform::HttpFields Fields;
  if (Status == 503)
    Fields.set("Retry-After", retryAfterSeconds(Context.random()));
  http::Response Body = http::problemResponse(
      Status, Status == 503 ? "Unavailable" : "Refused", Reason, "no");
  Fields.set("Content-Type", "application/problem+json");
  co_await Caller->respond(Status, Fields, std::move(Body.Body));
  finish(Reason, Status);
}

asio::awaitable<void> RequestRun::fail() {
  unsigned Status = timeUp() ? 504 : 502;
  const char *Reason = timeUp() ? "time ran out" : "target failed";
  platform::HttpFields Fields;
  Fields.set("Content-Type", "application/problem+json");
  http::Response Body =
      http::problemResponse(Status, "Failed", Reason, "unknown");
  co_await Caller->respond(Status, Fields, std::move(Body.Body));
  finish(Reason, Status);
}

void RequestRun::abortStream(const char *Reason) {
  Caller->abort();
  finish(Reason, 0);
}

void RequestRun::noteFirstByte() {
  FirstByte = elapsed();
  Context.Metrics.firstByte(*FirstByte);
}

void RequestRun::notePart() {
  Clock::time_point Now = Clock::now();
  if (LastPart != Clock::time_point())
    LongestPause = std::max(
        LongestPause, std::chrono::duration_cast<milliseconds>(Now - LastPart));
  LastPart = Now;
}

void RequestRun::finish(const char *How, unsigned Status) {
  Finished = true;
  Context.Metrics.requestEnded(How, elapsed());
  std::uint64_t Version = Context.Config ? Context.Config->Version : 0;
  auto ProofAge = Context.Follower->operatorsStaleness();
  telemetry::log(
      telemetry::Level::Info, "request ended",
      {{"id", Admitted.Marks.Id},
       {"outcome", std::string(How)},
       {"status", std::int64_t(Status)},
       {"ms", std::int64_t(elapsed().count())},
       {"first_ms", FirstByte ? FirstByte->count() : std::int64_t(-1)},
       {"pause_ms", std::int64_t(LongestPause.count())},
       {"route", Admitted.Route ? Admitted.Route->Name : std::string()},
       {"workspace", Admitted.Workspace},
       {"target", LastTarget},
       {"target_load", LastLoad},
       {"load_age_ms", LastLoadAge},
       {"sends", std::int64_t(Tried.size())},
       {"waited_ms", std::int64_t(Waited.count())},
       {"configuration", std::int64_t(Version)},
       {"proof_age_ms", ProofAge ? ProofAge->count() : std::int64_t(-1)}});
}

} // namespace

asio::awaitable<void> runRequest(GatewayContext &Context,
                                 std::shared_ptr<CallerConnection> Caller,
                                 CallerConnection::Request &Request) {
  RequestRun Run(Context, std::move(Caller), Request);
  co_await Run.run();
}

} // namespace rosemarylane
