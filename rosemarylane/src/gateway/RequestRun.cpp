#include "gateway/RequestRun.h"

#include "gateway/Admission.h"
#include "gateway/BufferedAnswer.h"
#include "gateway/QuarantineCheck.h"
#include "gateway/RequestLog.h"
#include "gateway/RequestRetries.h"
#include "gateway/RetryAfter.h"
#include "gateway/SilenceWatch.h"
#include "gateway/StandbyAttempts.h"
#include "gateway/StreamForward.h"
#include "gateway/TargetAttempt.h"
#include "gateway/TargetWait.h"
#include "serving/RequestOutcome.h"
#include "telemetry/Log.h"

#include <exception>
#include <utility>

namespace rosemarylane {

namespace asio = boost::asio;
using core::BootClock;
using serving::RetryDecision;
using serving::SendResult;
using serving::TargetFeedback;
using std::chrono::milliseconds;
using Clock = TargetAttempt::Clock;

namespace {

// Times without progress after which a standby attempt is made. They apply only
// if the route allows a request to run twice (`serving::Route::repeatable`),
// attempts and retries are left, and another target has room. Otherwise the
// limit is that of the whole request.

/// Until the response head, on streaming routes.
constexpr milliseconds StreamHeadPatience{1500};
/// Until the response head, on other routes.
constexpr milliseconds BufferedHeadPatience{700};
/// Until the next event of a stream.
constexpr milliseconds StreamEventPatience{1100};
/// Estimated time that an engine takes for one token of a response. Used for
/// the expected duration of a request, for all models.
constexpr milliseconds EstimatedTimePerToken{8};

/// Handles one request from its admission to the end of its response.
///
/// Lives in the coroutine frame of `runRequest`, on the thread of the event
/// loop.
class RequestRun {
public:
  RequestRun(GatewayContext &Context, std::shared_ptr<CallerConnection> Caller,
             CallerConnection::Request &Request)
      : Context(Context), Caller(std::move(Caller)), Request(Request),
        StartedAt(Clock::now()), Quarantine(Context, Admitted, Request),
        Wait(Context, Admitted, Quarantine, StartedAt),
        Stream(*this->Caller,
               {[this] { recordEvents(); }, [this] { recordWritten(); },
                [this] { recordFirstByte(); }}),
        Silence(Context.Loop, [this] { return startStandby(); }),
        Standbys(
            Context.Loop,
            {[this](TargetAttempt &Standby) { return openStandby(Standby); },
             [this] { standbyReady(); },
             [this](TargetAttempt &Standby, SendResult Result) {
               standbyEnded(Standby, Result);
             }}),
        Log(Context, Admitted, StartedAt), Retries(Context, Admitted),
        Buffered(Context.Memory) {}

  asio::awaitable<void> run();

private:
  // Stages of request handling.
  asio::awaitable<void> sendToTargets();
  /// @return what the request requires of a target that is selected now.
  serving::TargetRequirements requirements() const;
  /// Selects a target for the next attempt; may wait until one has room.
  asio::awaitable<std::unique_ptr<TargetAttempt>> nextAttempt();
  /// Runs `Current` to its end, or until another attempt takes over.
  /// @param IsReady it was a standby that is ready, so it is not opened.
  /// @return how it ended; empty if it is in reserve now.
  asio::awaitable<std::optional<SendResult>> finishCurrent(bool IsReady);
  /// Sends the request to `Current`'s target, unless that was done, and reads
  /// the response.
  asio::awaitable<std::optional<SendResult>> openAndReceive(bool IsReady);
  /// Waits, if the caller has got the beginning of a stream, until the budget
  /// has a retry for the rest.
  asio::awaitable<void> awaitRetry();
  /// Decides what follows the attempts that have ended.
  /// @return whether another one is made; otherwise the request has ended.
  asio::awaitable<bool> mayGoOn();
  /// Puts `Current`, which is paused, into reserve.
  void reserveCurrent();
  asio::awaitable<std::optional<SendResult>> receive();
  asio::awaitable<SendResult> bufferResponse();
  /// @return how the attempt ended; empty if it was paused.
  asio::awaitable<std::optional<SendResult>> forwardStream();
  asio::awaitable<void> forwardBuffered();
  std::unique_ptr<TargetAttempt>
  makeAttempt(const serving::SelectedTarget &Target);
  void recordAttemptEnd(TargetAttempt &Attempt, SendResult AttemptResult);
  void recordEvents();
  void recordWritten();
  /// Ends the retries that are open if all attempts have arrived.
  /// @param HasArrived whether `Current`, if there is one, has.
  void recordArrivals(bool HasArrived);

  // Attempts beside one whose target is silent.
  /// @return whether another attempt may follow those in progress.
  bool mayStartStandby() const;
  /// Asks another target if this one is silent for longer than \p Patience, and
  /// the request may be sent once more.
  void expectProgress(milliseconds Patience);
  /// Sends the request to another target, if one can take it.
  /// @return whether it did.
  bool startStandby();
  asio::awaitable<std::optional<SendResult>>
  openStandby(TargetAttempt &Standby);
  /// Sends the request, if that was not done, and reads the head.
  asio::awaitable<std::optional<SendResult>>
  openStandbyHead(TargetAttempt &Standby);
  /// Waits, after `Current` has ended, until a standby is ready or all have
  /// ended.
  asio::awaitable<void> awaitStandbys();
  /// Lets a standby that is ready go on with the response, if `Current` is
  /// waited for.
  void standbyReady();
  void standbyEnded(TargetAttempt &Standby, SendResult Result);

  // Final responses, logging and metrics.
  // A reason is the outcome in the log and the label of the request metric;
  // `refuse` and `fail` also send it to the caller as the detail text.
  asio::awaitable<void> refuse(unsigned Status, const char *Reason);
  /// @return when the refused caller may try again.
  milliseconds chooseReturnTime();
  asio::awaitable<void> fail();
  asio::awaitable<void> respondProblem(http::Response &Problem,
                                       platform::HttpFields &Fields);
  void abortStream(const char *Reason);
  void recordFirstByte();
  void finish(const char *OutcomeLabel, unsigned Status);

  /// Ends all attempts and waits, for a caller that left or a process that
  /// ends; the coroutine goes on from there.
  void giveUp();
  /// @return by when the request has to begin at a target to end before the
  /// process does.
  Clock::time_point lastStart() const;

  bool deadlinePassed() const { return Clock::now() >= Deadline; }
  milliseconds elapsed() const {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - StartedAt);
  }
  /// @return the time until the deadline; 0 if the request was not admitted.
  milliseconds timeLeft() const {
    if (Deadline == Clock::time_point())
      return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(Deadline - Clock::now());
  }
  milliseconds headPatience() const {
    return isStreaming() ? StreamHeadPatience : BufferedHeadPatience;
  }
  bool isStreaming() const {
    return Admitted.Route->Kind == serving::RequestKind::Streaming;
  }
  /// @return whether the response of \p Attempt, whose head was read, has a
  /// body of events.
  bool hasStream(const TargetAttempt &Attempt) const;

  GatewayContext &Context;
  std::shared_ptr<CallerConnection> Caller;
  CallerConnection::Request &Request;
  Clock::time_point StartedAt;
  Clock::time_point Deadline{};
  /// When `Current`, or the attempt before it, began to be written; the epoch
  /// if it was not.
  Clock::time_point SentAt{};

  AdmittedRequest Admitted;
  QuarantineCheck Quarantine;
  TargetWait Wait;
  StreamForward Stream;
  SilenceWatch Silence;
  StandbyAttempts Standbys;
  RequestLog Log;
  RequestRetries Retries;
  /// Results of all attempts so far; decides whether to retry.
  serving::RequestOutcome Outcome;
  std::vector<serving::TargetId> AttemptedTargets;
  /// The attempt whose response is read; null between two of them.
  std::unique_ptr<TargetAttempt> Current;

  // State of the response to the caller.
  BufferedAnswer Buffered;
  bool IsFinished = false;
};

asio::awaitable<void> RequestRun::run() {
  Admission Decision = admitRequest(Context, Request);
  Admitted = std::move(Decision.Request);
  if (Decision.Status != 0) {
    co_await refuse(Decision.Status, Decision.Reason);
    co_return;
  }
  Deadline = StartedAt + Admitted.TimeLimit;
  Outcome = serving::RequestOutcome(Admitted.Route->repeatable(),
                                    Admitted.Route->MaxAttempts);
  Retries.recordFirstAttempt();
  Context.Targets.recordDemand(requirements(), BootClock::now());
  Caller->onDisconnect([this] { giveUp(); });
  Shutdown::Subscription Stopping(
      Context.Stop,
      {[this] { Wait.setLastStart(lastStart()); }, [this] { giveUp(); }});
  std::exception_ptr Thrown;
  try {
    co_await sendToTargets();
  } catch (...) {
    Thrown = std::current_exception();
  }
  Silence.stop();
  co_await Standbys.finish();
  Caller->onDisconnect(nullptr);
  if (Thrown)
    std::rethrow_exception(Thrown);
  if (!IsFinished)
    finish(Caller->disconnected() ? "caller left" : "ended", 0);
}

void RequestRun::giveUp() {
  Wait.cancel();
  if (Current)
    Current->withdraw();
  Standbys.withdraw();
}

Clock::time_point RequestRun::lastStart() const {
  if (!Context.Stop.hasBegun() || Stream.begun())
    return Context.Stop.endsAt();
  milliseconds Expected =
      EstimatedTimePerToken * Admitted.HeaderValues.ExpectedTokens;
  if (!isStreaming())
    Expected = std::chrono::duration_cast<milliseconds>(
        Context.Times.expected(*Admitted.Route));
  return Context.Stop.endsAt() - Expected;
}

asio::awaitable<std::unique_ptr<TargetAttempt>> RequestRun::nextAttempt() {
  serving::TargetRequirements Demand = requirements();
  Wait.setLastStart(lastStart());
  // Whoever has got the beginning of a stream waits for the rest of it.
  auto QueueDeadline = Stream.begun() ? Deadline : Wait.queueDeadline(Deadline);
  auto Entry = Stream.begun() ? serving::QueueEntry::Always
                              : serving::QueueEntry::IfNotFull;
  auto Target = co_await Wait.acquire(Demand, QueueDeadline, Entry);
  while (!Target && Stream.begun() && Wait.mayFindLater()) {
    bool LooksAgain = co_await Wait.awaitRecheck(Deadline);
    if (!LooksAgain)
      break;
    Target = co_await Wait.acquire(Demand, QueueDeadline, Entry);
  }
  if (!Target)
    co_return nullptr;
  co_return makeAttempt(*Target);
}

asio::awaitable<void> RequestRun::sendToTargets() {
  for (;;) {
    Current = Standbys.takeReady();
    bool IsReady = Current != nullptr;
    if (!Current)
      Current = co_await nextAttempt();
    if (Caller->disconnected()) {
      if (Current)
        recordAttemptEnd(*Current,
                         IsReady ? SendResult::Unknown : SendResult::Withheld);
      co_return;
    }
    if (!Current) {
      if (Wait.displacement())
        Log.logDisplaced(*Wait.displacement());
      if (Stream.begun())
        abortStream("no target goes on with the stream");
      else if (Outcome.mayHaveRun())
        co_await fail();
      else
        co_await refuse(503, Wait.failureReason());
      co_return;
    }
    std::optional<SendResult> Ended = co_await finishCurrent(IsReady);
    if (Caller->disconnected() || IsFinished)
      co_return;
    if (Ended == SendResult::Answered)
      Standbys.withdraw();
    else
      co_await awaitStandbys();
    if (Caller->disconnected())
      co_return;
    if (Ended)
      Outcome.recordResult(*Ended);
    if (!Stream.canResume()) {
      abortStream("stream broke off after an event without an id");
      co_return;
    }
    if (Ended != SendResult::Answered && Standbys.hasReady())
      continue;
    co_await awaitRetry();
    if (Caller->disconnected())
      co_return;
    bool GoesOn = co_await mayGoOn();
    if (!GoesOn)
      co_return;
    if (Ended != SendResult::Withheld)
      Context.Metrics.requestSent(true);
  }
}

asio::awaitable<void> RequestRun::awaitRetry() {
  bool Waits = Stream.begun() && Outcome.mayRetry();
  while (Waits && !Retries.canAcquire())
    Waits = co_await Wait.awaitRecheck(Deadline);
}

asio::awaitable<bool> RequestRun::mayGoOn() {
  RetryDecision Next = Outcome.next([&] {
    return !deadlinePassed() && !Context.Stop.isOver() && Retries.tryAcquire();
  });
  if (Next == RetryDecision::Retry && deadlinePassed())
    Next = Outcome.mayHaveRun() ? RetryDecision::ReportUnknownOutcome
                                : RetryDecision::Refuse;
  switch (Next) {
  case RetryDecision::Forward:
    // If the caller already has the head of a stream, this is the response of
    // a target that was asked to resume the stream, and cannot be forwarded.
    if (!Stream.begun())
      co_await forwardBuffered();
    else
      abortStream("target failed while going on with the stream");
    co_return false;
  case RetryDecision::Retry:
    co_return true;
  case RetryDecision::Refuse:
    if (Stream.begun())
      abortStream("target refused to go on with the stream");
    else
      co_await refuse(503, "targets refused");
    co_return false;
  case RetryDecision::ReportUnknownOutcome:
    if (Stream.begun())
      abortStream("stream broke off");
    else
      co_await fail();
    co_return false;
  }
  co_return false;
}

serving::TargetRequirements RequestRun::requirements() const {
  serving::TargetRequirements Demand;
  Demand.Service = Admitted.Service;
  Demand.AllowedRegions = Admitted.AllowedRegions;
  Demand.Model = Admitted.HeaderValues.Model;
  Demand.Tried = &AttemptedTargets;
  Demand.ExpectedDuration =
      EstimatedTimePerToken * Admitted.HeaderValues.ExpectedTokens;
  Demand.ExactVersion = Stream.version();
  Demand.PromptTokens = Admitted.HeaderValues.PromptTokens;
  Demand.Priority = Admitted.Priority;
  // A request that was not admitted may have no route.
  if (Admitted.Route)
    Demand.ObjectiveLeft =
        std::max(milliseconds(0), Admitted.Route->LatencyObjective - elapsed());
  Demand.ObjectiveAsOf = BootClock::now();
  Demand.ExpectedBytes = http::SharedBody::size(Request.body()) +
                         Context.expectedResponseBytes(Admitted.Service);
  return Demand;
}

std::unique_ptr<TargetAttempt>
RequestRun::makeAttempt(const serving::SelectedTarget &Target) {
  AttemptedTargets.push_back(Target.Id);
  Context.Metrics.targetChosen(Admitted.Service,
                               RequestLog::leaveName(Target.Leave));
  return std::make_unique<TargetAttempt>(
      TargetAttempt::Source{Context, Admitted, Request, Deadline}, Target);
}

asio::awaitable<std::optional<SendResult>>
RequestRun::finishCurrent(bool IsReady) {
  Log.recordAttemptBegun(Current->target(), Current->begunAt());
  std::optional<SendResult> Ended = SendResult::Unknown;
  try {
    Ended = co_await openAndReceive(IsReady);
  } catch (const std::exception &E) {
    // Like an exchange that broke: the target's place must not stay taken.
    Current->send().cancel();
    telemetry::log(telemetry::Level::Error, "exception in an attempt",
                   {{"error", std::string(E.what())}});
  }
  Silence.stop();
  if (!Ended) {
    reserveCurrent();
    co_return std::nullopt;
  }
  Log.recordConnection(Current->send().reusedConnection());
  recordAttemptEnd(*Current, *Ended);
  Current.reset();
  co_return *Ended;
}

asio::awaitable<std::optional<SendResult>>
RequestRun::openAndReceive(bool IsReady) {
  std::optional<SendResult> Ended;
  if (!IsReady) {
    expectProgress(headPatience());
    serving::TargetRequirements Demand = requirements();
    std::string ResumeAfter = Stream.resumeAfter();
    Current->position() = Stream.position();
    Ended = co_await Current->open(Demand, ResumeAfter);
  }
  SentAt = Current->sentAt();
  recordArrivals(Current->hasHead());
  if (!Ended && !Current->send().isPaused()) {
    Current->setSilent(false);
    Ended = co_await receive();
  }
  co_return Ended;
}

void RequestRun::reserveCurrent() {
  if (Current->isSilent() && Current->reportSilent())
    Log.logFailedAttempt(
        Current->target(),
        {TargetFeedback::Silent, Current->sentAt(), Current->answerBegun()});
  Standbys.start(std::move(Current));
}

asio::awaitable<std::optional<SendResult>> RequestRun::receive() {
  if (hasStream(*Current))
    co_return co_await forwardStream();
  Silence.stop();
  co_return co_await bufferResponse();
}

bool RequestRun::hasStream(const TargetAttempt &Attempt) const {
  bool HasNoBody = Request.method() == boost::beast::http::verb::head;
  return isStreaming() && !HasNoBody && Attempt.send().status() == 200;
}

void RequestRun::recordAttemptEnd(TargetAttempt &Attempt,
                                  SendResult AttemptResult) {
  if (AttemptResult == SendResult::Withheld)
    std::erase(AttemptedTargets, Attempt.target().Id);
  Attempt.recordEnd(AttemptResult);
  TargetFeedback Feedback = Attempt.feedback();
  if (Feedback == TargetFeedback::Broken || Feedback == TargetFeedback::Silent)
    Log.logFailedAttempt(Attempt.target(),
                         {Feedback, Attempt.sentAt(), Attempt.answerBegun()});
  if (Feedback == TargetFeedback::Broken)
    Quarantine.recordBreak(Attempt);
  if (AttemptResult == SendResult::Answered ||
      AttemptResult == SendResult::Failed)
    Quarantine.recordAnsweredWhole();
}

void RequestRun::recordEvents() {
  if (!Current->answerBegun()) {
    Quarantine.recordAnswerBegun();
    if (Current->target().ExpectedFirstEvent)
      Context.Metrics.firstEvent(*Current->target().ExpectedFirstEvent,
                                 std::chrono::duration_cast<milliseconds>(
                                     Clock::now() - Current->sentAt()));
  }
  Current->setAnswerBegun();
  Current->setSilent(false);
  // A caller that reads slowly is no silence of the target.
  Silence.stop();
  // Without ids nothing tells what the others need not send again.
  if (!Stream.canResume())
    Standbys.withdraw();
  // An answer of another kind can't go on with the stream.
  Standbys.withdrawIf(
      [this](const TargetAttempt &A) { return A.hasHead() && !hasStream(A); });
  // A retry that may still arrive is one that another request can't have.
  if (!Retries.canAcquire())
    Standbys.withdrawIf([](const TargetAttempt &A) { return !A.hasHead(); });
  Standbys.recheck(
      [this](TargetAttempt &A) { return Stream.isAhead(A.position()); });
  // Otherwise `standbyEnded` or `openStandby` does it.
  recordArrivals(true);
}

void RequestRun::recordWritten() {
  expectProgress(StreamEventPatience);
  // Whichever target has the next event goes on with the stream.
  if (Standbys.hasReady())
    (void)Current->pause();
}

void RequestRun::recordArrivals(bool HasArrived) {
  bool AllArrived = HasArrived && Standbys.all([](const TargetAttempt &A) {
    return A.hasHead();
  });
  if (AllArrived)
    Retries.recordArrived();
}

bool RequestRun::mayStartStandby() const {
  // `attemptCount` leaves out attempts that ended with `SendResult::NotSent`,
  // and those in progress.
  std::size_t InProgress = 1 + Standbys.size();
  return Admitted.Route->repeatable() && Outcome.mayRetry() &&
         Stream.canResume() &&
         Outcome.attemptCount() + InProgress < Admitted.Route->MaxAttempts;
}

void RequestRun::expectProgress(milliseconds Patience) {
  if (mayStartStandby())
    Silence.expectWithin(Patience);
  else
    Silence.stop();
}

bool RequestRun::startStandby() {
  if (deadlinePassed() || Caller->disconnected())
    return false;
  if (!Retries.canAcquire())
    return false;
  auto Target = Wait.trySelect(requirements());
  if (!Target)
    return false;
  (void)Retries.tryAcquire(); // Succeeds, as `canAcquire` has.
  Context.Metrics.requestSent(true);
  if (Current)
    Current->setSilent(true);
  Standbys.start(makeAttempt(*Target));
  expectProgress(headPatience());
  return true;
}

asio::awaitable<std::optional<SendResult>>
RequestRun::openStandbyHead(TargetAttempt &Standby) {
  if (Standby.send().isPaused()) {
    std::optional<SendResult> Ended = co_await Standby.reopen();
    co_return Ended;
  }
  serving::TargetRequirements Demand = requirements();
  std::string ResumeAfter = Stream.resumeAfter();
  Standby.position() = Stream.position();
  std::optional<SendResult> Ended = co_await Standby.open(Demand, ResumeAfter);
  co_return Ended;
}

asio::awaitable<std::optional<SendResult>>
RequestRun::openStandby(TargetAttempt &Standby) {
  if (!Standby.hasHead()) {
    std::optional<SendResult> Ended = co_await openStandbyHead(Standby);
    if (Ended || Standby.isWithdrawn())
      co_return Ended;
    recordArrivals(!Current || Current->hasHead());
  }
  Standby.send().resume();
  std::optional<TargetFeedback> Fault;
  bool IsStream = hasStream(Standby);
  // An error is no better than what the silent target may still answer.
  if (!IsStream && (Standby.send().status() >= 500 || Stream.begun()))
    Fault = TargetFeedback::Failed;
  else if (IsStream)
    Fault = co_await Stream.awaitContinuation(
        Standby.send(), Standby.position(), Deadline, Admitted.TimeLimit);
  else {
    Standby.setAnswerBegun();
    Fault = co_await BufferedAnswer::awaitWhole(Standby.send(), Deadline,
                                                Admitted.TimeLimit);
  }
  if (!Fault)
    co_return std::nullopt;
  Standby.setFeedback(*Fault);
  co_return SendResult::Unknown;
}

asio::awaitable<void> RequestRun::awaitStandbys() {
  if (Standbys.size() > 0)
    expectProgress(headPatience());
  co_await Standbys.waitUntilReady();
  Silence.stop();
}

void RequestRun::standbyReady() {
  if (!Current)
    return;
  bool IsForwarded = Current->hasHead() && hasStream(*Current);
  bool MayBeReserved = isStreaming() && (IsForwarded || !Current->hasHead());
  if (!MayBeReserved)
    return Current->giveUp();
  // Otherwise the caller's connection is waited for; see `recordWritten`.
  if (IsForwarded && !Stream.isWaiting())
    return;
  if (!Current->pause())
    Current->giveUp();
}

void RequestRun::standbyEnded(TargetAttempt &Standby, SendResult Result) {
  bool WasSent =
      Result != SendResult::Withheld && Result != SendResult::NotSent;
  if (!WasSent && !Standby.isWithdrawn())
    Retries.recordUnsent();
  else
    recordArrivals(!Current || Current->answerBegun());
  recordAttemptEnd(Standby, Result);
  Outcome.recordResult(Result);
  Log.logStandbyEnd(Standby.target(), Result, Standby.isWithdrawn());
  bool IsBuffering = Current && Current->answerBegun() && !isStreaming();
  bool IsWriting = Current && Current->hasHead() && hasStream(*Current) &&
                   !Stream.isWaiting();
  if (Current && !IsBuffering && !IsWriting && !Standby.isWithdrawn())
    expectProgress(Current->isSilent() ? milliseconds(0) : StreamEventPatience);
}

asio::awaitable<SendResult> RequestRun::bufferResponse() {
  Current->setAnswerBegun();
  BufferedAnswer::Result Ended =
      co_await Buffered.read(Current->send(), Deadline, Admitted.TimeLimit);
  Current->setFeedback(Ended.Feedback);
  co_return Ended.Sent;
}

asio::awaitable<std::optional<SendResult>> RequestRun::forwardStream() {
  expectProgress(StreamEventPatience);
  StreamForward::Result Ended = co_await Stream.forward(
      Current->send(), Current->position(), Deadline, Admitted.TimeLimit);
  if (Ended.Paused)
    co_return std::nullopt;
  Current->setFeedback(Ended.Feedback);
  if (Ended.Sent == SendResult::Answered)
    Context.recordResponseBytes(Admitted.Service, Stream.writtenBytes());
  if (Ended.Outcome)
    finish(Ended.Outcome, Ended.Status);
  co_return Ended.Sent;
}

asio::awaitable<void> RequestRun::forwardBuffered() {
  recordFirstByte();
  std::string Body = Buffered.takeBody();
  Context.recordResponseBytes(Admitted.Service, Body.size());
  Context.Times.record(*Admitted.Route, Clock::now() - SentAt);
  bool Completed = co_await Caller->respond(Buffered.status(), Buffered.head(),
                                            std::move(Body));
  finish(!Completed                ? "caller left"
         : Buffered.status() < 400 ? "served"
                                   : "answered",
         Buffered.status());
}

asio::awaitable<void> RequestRun::refuse(unsigned Status, const char *Reason) {
  if (auto Turn = Wait.turnTooLate()) {
    Log.recordTurn(*Turn);
    Context.Metrics.turnTooLate(Admitted.Service, Admitted.Priority, *Turn);
  }
  platform::HttpFields Fields;
  if (Status == 503) {
    milliseconds ReturnTime = chooseReturnTime();
    Fields.set("Retry-After", retryAfterField(ReturnTime));
    Log.recordRetryAfter(ReturnTime);
    Context.Metrics.retryAfterGiven(ReturnTime);
  }
  http::Response Problem = http::problemResponse(
      Status, Status == 503 ? "Unavailable" : "Refused", Reason, "no");
  co_await respondProblem(Problem, Fields);
  finish(Reason, Status);
}

milliseconds RequestRun::chooseReturnTime() {
  serving::ReturningCaller Returning;
  Returning.TimeLeft = timeLeft();
  Returning.Priority = Admitted.Priority;
  std::optional<milliseconds> RoomIn;
  if (Deadline != Clock::time_point()) {
    Returning.StartBy = Wait.limit().StartBy - elapsed();
    RoomIn = Wait.roomIn();
  }
  return retryAfter(Context, requirements(), Returning, RoomIn);
}

asio::awaitable<void> RequestRun::fail() {
  unsigned Status = deadlinePassed() ? 504 : 502;
  const char *Reason = deadlinePassed()        ? "time ran out"
                       : Context.Stop.isOver() ? "gateway stops"
                                               : "target failed";
  platform::HttpFields Fields;
  http::Response Problem =
      http::problemResponse(Status, "Failed", Reason, "unknown");
  co_await respondProblem(Problem, Fields);
  finish(Reason, Status);
}

asio::awaitable<void> RequestRun::respondProblem(http::Response &Problem,
                                                 platform::HttpFields &Fields) {
  Fields.set("Content-Type", "application/problem+json");
  co_await Caller->respond(Problem.Head.Status, Fields,
                           std::move(Problem.Body));
}

void RequestRun::abortStream(const char *Reason) {
  Caller->abort();
  finish(Reason, 0);
}

void RequestRun::recordFirstByte() {
  milliseconds Time = elapsed();
  Log.recordFirstByte(Time);
  Context.Metrics.firstByte(Time);
}

void RequestRun::finish(const char *OutcomeLabel, unsigned Status) {
  IsFinished = true;
  Context.Metrics.requestEnded(OutcomeLabel, elapsed());
  Log.logEnd({OutcomeLabel, Status, SentAt, AttemptedTargets.size(),
              Wait.queueTime(), Stream.longestPause(), timeLeft()});
}

} // namespace

asio::awaitable<void> runRequest(GatewayContext &Context,
                                 std::shared_ptr<CallerConnection> Caller,
                                 CallerConnection::Request &Request) {
  RequestRun Run(Context, std::move(Caller), Request);
  co_await Run.run();
}

} // namespace rosemarylane
