#include "gateway/RequestRun.h"

#include "core/Rendezvous.h"
#include "gateway/Admission.h"
#include "gateway/TargetSend.h"
#include "serving/EventSplitter.h"
#include "serving/RequestOutcome.h"
#include "telemetry/Log.h"

#include <boost/algorithm/string/predicate.hpp>
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

/// Time limits for the response head of an attempt, the first on streaming
/// routes, the second on other routes. They apply only if the request can still
/// be retried: the route allows a request to run twice
/// (`serving::Route::repeatable`) and attempts are left. Otherwise the limit is
/// that of the whole request.
constexpr milliseconds StreamHeadTimeout{1500};
constexpr milliseconds BufferedHeadTimeout{700};
/// Time limit for the next event of a stream that another target may resume.
constexpr milliseconds StreamEventTimeout{1100};
/// Estimated time that an engine takes for one token of a response. Used for
/// the expected duration of a request, for all models.
constexpr milliseconds EstimatedTimePerToken{8};
/// Responses that are not streamed are buffered, so that a truncated one can be
/// retried at another target or reported as failed. The size is checked before
/// a part is appended, so the last part may exceed the limit; if yet another
/// part follows, the response is handled like one whose connection broke.
constexpr std::size_t MaxBufferedBytes = 1 << 20;
/// Limit of the size of one event of a stream. A larger one is handled like a
/// connection that broke.
constexpr std::size_t MaxEventBytes = 1 << 20;
constexpr char EventStreamType[] = "text/event-stream";
/// Range of the random `Retry-After` time of a refusal.
constexpr milliseconds MinRetryAfter{500};
constexpr milliseconds MaxRetryAfter{1900};

milliseconds randomRetryAfter(double Random) {
  std::chrono::duration<double, std::milli> Spread =
      MaxRetryAfter - MinRetryAfter;
  return MinRetryAfter + std::chrono::ceil<milliseconds>(Random * Spread);
}

std::string inSeconds(milliseconds Time) {
  std::string Seconds =
      std::to_string(std::chrono::duration<double>(Time).count());
  return Seconds.substr(0, Seconds.find('.') + 3);
}

/// Handles one request from its admission to the end of its response.
///
/// Lives in the coroutine frame of `runRequest`, on the thread of the event
/// loop.
class RequestRun {
public:
  RequestRun(GatewayContext &Context, std::shared_ptr<CallerConnection> Caller,
             CallerConnection::Request &Request)
      : Context(Context), Caller(std::move(Caller)), Request(Request),
        StartedAt(Clock::now()), Timer(Context.Loop) {}

  asio::awaitable<void> run();

private:
  // Stages of request handling.
  asio::awaitable<void> sendToTargets();
  asio::awaitable<std::optional<serving::SelectedTarget>> acquireTarget();
  /// @return what the request requires of a target that is selected now.
  serving::TargetRequirements requirements() const;
  /// @return whether all targets that may get the request want none until
  /// after \p Until.
  bool allPausedPast(Clock::time_point Until) const;
  /// Selects a target and counts the request as sent to it, until
  /// `LoadBalancer::recordResult` is called.
  std::optional<serving::SelectedTarget> selectAndReserveTarget();
  /// Makes one attempt and reports its result to the load balancer.
  asio::awaitable<SendResult>
  sendAttempt(const serving::SelectedTarget &Target);
  /// Sends the request and receives the response; part of `sendAttempt`.
  asio::awaitable<SendResult> exchange(const serving::SelectedTarget &Target);
  /// @return whether another attempt may follow the one in progress.
  bool mayRetry() const;
  /// @return whether the next target can be told where to go on, if the caller
  /// has got anything.
  bool canResume() const { return !HeadForwarded || Splitter.resumable(); }
  /// @return when an attempt that begins now gives up without a response head.
  Clock::time_point headDeadline(const serving::SelectedTarget &Target) const;
  /// @return what the target is told about the request.
  platform::TargetMarks
  targetMarks(const serving::SelectedTarget &Target) const;
  asio::awaitable<SendResult> bufferResponse();
  asio::awaitable<SendResult> forwardStream();
  /// @return whether a stream whose response has ended was broken off.
  bool brokeOffAtEnd() const;
  /// @return whether the stream that the caller is getting cannot go on with
  /// what the target has sent so far.
  bool isNoContinuation() const;
  asio::awaitable<void> forwardBuffered();
  /// Records the time from the start of the attempt, connecting included, to
  /// the response head.
  void recordResponseTime(const serving::SelectedTarget &Target);
  void recordAttemptEnd(const serving::SelectedTarget &Target,
                        SendResult AttemptResult);
  /// Reports a request that may have killed its target.
  void reportBreak(const serving::SelectedTarget &Target);
  void recordAnswerBegun();
  /// @return what identifies this request to the quarantine.
  routing::PartQuarantine::Subject subject() const;
  /// @return whether the request is refused because such requests have killed
  /// targets.
  bool isQuarantined() const;
  void logFailedAttempt(const serving::SelectedTarget &Target) const;
  /// @return the time from the request's arrival to the moment at which the
  /// last attempt began to be written; -1 if it was not written.
  std::int64_t writtenAfterMs() const;

  // Final responses, logging and metrics.
  // A reason is the outcome in the log and the label of the request metric;
  // `refuse` and `fail` also send it to the caller as the detail text.
  asio::awaitable<void> refuse(unsigned Status, const char *Reason);
  /// @return why no target was acquired.
  const char *noTargetReason() const;
  /// @return when the caller may try again: some time after its targets want
  /// requests again.
  milliseconds retryAfter();
  asio::awaitable<void> fail();
  void abortStream(const char *Reason);
  void recordFirstByte();
  void recordStreamPause();
  void finish(const char *OutcomeLabel, unsigned Status);

  bool deadlinePassed() const { return Clock::now() >= Deadline; }
  milliseconds elapsed() const {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - StartedAt);
  }
  bool isStreaming() const {
    return Admitted.Route->Kind == serving::RequestKind::Streaming;
  }

  GatewayContext &Context;
  std::shared_ptr<CallerConnection> Caller;
  CallerConnection::Request &Request;
  Clock::time_point StartedAt;
  Clock::time_point Deadline{};
  Clock::time_point SentAt{};
  asio::steady_timer Timer;

  AdmittedRequest Admitted;
  /// Results of all attempts so far; decides whether to retry.
  serving::RequestOutcome Outcome;
  std::vector<serving::TargetId> AttemptedTargets;
  serving::SelectionFailure NoTargetReason =
      serving::SelectionFailure::Unavailable;
  /// The attempt in progress, to one target.
  std::unique_ptr<TargetSend> Attempt;
  /// What the load balancer is told about the target of the last attempt.
  TargetFeedback LastFeedback = TargetFeedback::Abandoned;
  std::string LastTarget;
  /// Whether the last attempt was sent on a pooled connection.
  bool LastReused = false;
  /// When the last attempt began; empty before the first one.
  std::optional<milliseconds> LastSentAfter;
  /// Load of the target of the last attempt, as a fraction of its slots.
  double LastLoad = 0;
  /// Age of that load in milliseconds; -1 before the first attempt.
  std::int64_t LastLoadAgeMs = -1;
  milliseconds QueueTime{0};
  /// Time to the first byte of the response; empty before it is sent.
  std::optional<milliseconds> FirstByte;
  /// Longest time between two writes of a stream.
  milliseconds LongestPause{0};
  Clock::time_point LastDataAt{};

  // State of the response to the caller.
  bool HeadForwarded = false;
  /// The target of the last attempt has sent at least one whole event, or the
  /// head of a response that is not a stream.
  bool AnswerBegun = false;
  /// Splits a streamed response into server-sent events. Only complete events
  /// are forwarded, so that another target can resume the stream after the
  /// last.
  serving::EventSplitter Splitter;
  std::uint64_t ResponseVersion = 0;
  unsigned BufferedStatus = 0;
  platform::HttpFields BufferedHead;
  std::string BufferedBody;
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
  Context.RetryBudgets.share(Admitted.Service).recordFirstAttempt();
  Caller->onDisconnect([this] {
    Timer.cancel();
    if (Attempt)
      Attempt->cancel();
  });
  co_await sendToTargets();
  Caller->onDisconnect(nullptr);
  if (!IsFinished)
    finish(Caller->disconnected() ? "caller left" : "ended", 0);
}

asio::awaitable<void> RequestRun::sendToTargets() {
  for (;;) {
    auto Target = co_await acquireTarget();
    if (Caller->disconnected()) {
      if (Target)
        Context.Targets.recordResult(Target->Id, TargetFeedback::Abandoned,
                                     BootClock::now());
      co_return;
    }
    if (!Target) {
      if (HeadForwarded)
        abortStream("no target goes on with the stream");
      else if (Outcome.mayHaveRun())
        co_await fail();
      else
        co_await refuse(503, noTargetReason());
      co_return;
    }
    SendResult AttemptResult = co_await sendAttempt(*Target);
    if (Caller->disconnected() || IsFinished)
      co_return;
    Outcome.recordResult(AttemptResult);
    if (!canResume()) {
      abortStream("stream broke off after an event without an id");
      co_return;
    }
    RetryDecision Next = Outcome.next([&] {
      return !deadlinePassed() && Context.RetryBudgets.share(Admitted.Service)
                                      .tryAcquireRetry(BootClock::now());
    });
    if (Next == RetryDecision::Retry && deadlinePassed())
      Next = Outcome.mayHaveRun() ? RetryDecision::ReportUnknownOutcome
                                  : RetryDecision::Refuse;
    switch (Next) {
    case RetryDecision::Forward:
      // If the caller already has the head of a stream, this is the response of
      // a target that was asked to resume the stream, and cannot be forwarded.
      if (!HeadForwarded)
        co_await forwardBuffered();
      else
        abortStream("target failed while going on with the stream");
      co_return;
    case RetryDecision::Retry:
      if (AttemptResult != SendResult::Withheld)
        Context.Metrics.requestSent(true);
      continue;
    case RetryDecision::Refuse:
      if (HeadForwarded)
        abortStream("target refused to go on with the stream");
      else
        co_await refuse(503, "targets refused");
      co_return;
    case RetryDecision::ReportUnknownOutcome:
      if (HeadForwarded)
        abortStream("stream broke off");
      else
        co_await fail();
      co_return;
    }
  }
}

const char *RequestRun::noTargetReason() const {
  if (isQuarantined())
    return "such requests crash targets";
  switch (NoTargetReason) {
  case serving::SelectionFailure::Full:
    return "no free place";
  case serving::SelectionFailure::Paused:
    return "targets want no requests";
  case serving::SelectionFailure::Unavailable:
    break;
  }
  return "no usable target";
}

serving::TargetRequirements RequestRun::requirements() const {
  serving::TargetRequirements Demand;
  Demand.Service = Admitted.Service;
  Demand.AllowedRegions = Admitted.AllowedRegions;
  Demand.Model = Admitted.HeaderValues.Model;
  Demand.Tried = &AttemptedTargets;
  Demand.ExpectedDuration =
      EstimatedTimePerToken * Admitted.HeaderValues.ExpectedTokens;
  Demand.ExactVersion = HeadForwarded ? ResponseVersion : 0;
  return Demand;
}

bool RequestRun::allPausedPast(Clock::time_point Until) const {
  BootTime Now = BootClock::now();
  auto PausedUntil = Context.Targets.allPausedUntil(requirements(), Now);
  return PausedUntil && *PausedUntil - Now > Until - Clock::now();
}

std::optional<serving::SelectedTarget> RequestRun::selectAndReserveTarget() {
  if (isQuarantined()) {
    NoTargetReason = serving::SelectionFailure::Unavailable;
    return std::nullopt;
  }
  return Context.Targets.choose(requirements(), BootClock::now(),
                                Context.random(), NoTargetReason);
}

asio::awaitable<std::optional<serving::SelectedTarget>>
RequestRun::acquireTarget() {
  serving::AdmissionQueue &Queue = Context.waitQueue(Admitted.Service);
  std::optional<serving::SelectedTarget> Chosen;
  if (isQuarantined())
    co_return Chosen;
  if (Queue.size() == 0) {
    Chosen = selectAndReserveTarget();
    if (Chosen || NoTargetReason == serving::SelectionFailure::Unavailable)
      co_return Chosen;
  } else if (!Context.Targets.mayServe(requirements(), BootClock::now())) {
    NoTargetReason = serving::SelectionFailure::Unavailable;
    co_return Chosen;
  }
  // Longest time in the queue: a fraction of the route's latency objective.
  auto MaxQueueTime = std::chrono::duration_cast<Clock::duration>(
      Admitted.Route->LatencyObjective *
      Context.Settings.Limits.MaxQueueTimeShare);
  auto QueueDeadline = std::min(Deadline, StartedAt + MaxQueueTime);
  if (Clock::now() >= QueueDeadline)
    co_return selectAndReserveTarget();
  if (allPausedPast(QueueDeadline)) {
    NoTargetReason = serving::SelectionFailure::Paused;
    co_return std::nullopt;
  }
  // Whoever waits behind others is not tried before they are.
  NoTargetReason = serving::SelectionFailure::Full;
  bool Waits = true;
  auto TryStart = [&] {
    Chosen = selectAndReserveTarget();
    bool InVain = NoTargetReason == serving::SelectionFailure::Unavailable ||
                  allPausedPast(QueueDeadline);
    Waits = !Chosen && !InVain;
    if (!Waits) {
      Timer.cancel();
      return serving::StartResult::Ended;
    }
    return Context.Targets.hasRoom(Admitted.Service, BootClock::now())
               ? serving::StartResult::NoUsableSlot
               : serving::StartResult::NoSlot;
  };
  // Destroying the place removes the request from the queue.
  auto QueuePlace = Queue.enqueue(
      Admitted.Priority, serving::DemandClass(requirements()), TryStart);
  if (!QueuePlace) {
    NoTargetReason = serving::SelectionFailure::Full;
    co_return std::nullopt;
  }
  auto JoinedAt = Clock::now();
  Timer.expires_at(QueueDeadline);
  Queue.dispatch();
  if (Waits)
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  auto Time = std::chrono::duration_cast<milliseconds>(Clock::now() - JoinedAt);
  QueueTime += Time;
  Context.Metrics.queued(Time);
  co_return Chosen;
}

asio::awaitable<SendResult>
RequestRun::sendAttempt(const serving::SelectedTarget &Target) {
  LastTarget = Target.Id.str();
  LastLoad = Target.Load;
  LastLoadAgeMs = Target.LoadAge.count();
  LastSentAfter = elapsed();
  AttemptedTargets.push_back(Target.Id);
  SendResult AttemptResult = co_await exchange(Target);
  if (AttemptResult == SendResult::Withheld)
    AttemptedTargets.pop_back();
  if (Caller->disconnected()) {
    LastFeedback = TargetFeedback::Abandoned;
    Attempt->cancel();
  }
  recordAttemptEnd(Target, AttemptResult);
  Attempt.reset();
  co_return AttemptResult;
}

void RequestRun::recordResponseTime(const serving::SelectedTarget &Target) {
  auto Duration =
      std::chrono::duration_cast<milliseconds>(Clock::now() - SentAt);
  Context.Targets.recordResponseTime(Target.Id, Duration, BootClock::now());
}

void RequestRun::recordAttemptEnd(const serving::SelectedTarget &Target,
                                  SendResult AttemptResult) {
  LastReused = Attempt->reusedConnection();
  BootTime Now = BootClock::now();
  const platform::AnswerMarks &HeaderValues = Attempt->headerValues();
  bool HasResponse = AttemptResult == SendResult::Answered ||
                     AttemptResult == SendResult::Refused ||
                     AttemptResult == SendResult::Failed;
  Context.Targets.recordResult(Target.Id, LastFeedback, Now);
  if (LastFeedback == TargetFeedback::Broken ||
      LastFeedback == TargetFeedback::Silent)
    logFailedAttempt(Target);
  if (LastFeedback == TargetFeedback::Broken)
    reportBreak(Target);
  if (HasResponse && HeaderValues.Load)
    Context.Targets.updateLoad(Target.Id, *HeaderValues.Load, Now);
  if (HasResponse && HeaderValues.WarmupLeft)
    Context.Targets.updateWarmup(Target.Id, *HeaderValues.WarmupLeft, Now);
  if (LastFeedback == TargetFeedback::Silent ||
      LastFeedback == TargetFeedback::Broken)
    Context.TargetConnections.closeIdle(Target.Id);
  Context.advanceWaitQueues();
}

void RequestRun::logFailedAttempt(const serving::SelectedTarget &Target) const {
  std::string Parts;
  for (const std::string &Part : Admitted.HeaderValues.SharedParts)
    Parts += (Parts.empty() ? "" : ",") + Part;
  bool Sent = SentAt != Clock::time_point();
  auto SinceSent =
      std::chrono::duration_cast<milliseconds>(Clock::now() - SentAt);
  telemetry::log(
      telemetry::Level::Info, "attempt failed",
      {{"id", Admitted.HeaderValues.Id},
       {"target", Target.Id.str()},
       {"how", std::string(LastFeedback == TargetFeedback::Silent ? "silent"
                                                                  : "broken")},
       {"sent_ms_ago", Sent ? SinceSent.count() : std::int64_t(-1)},
       {"answer_begun", AnswerBegun},
       {"shared_parts", std::move(Parts)}});
}

routing::PartQuarantine::Subject RequestRun::subject() const {
  const platform::RequestMarks &Marks = Admitted.HeaderValues;
  std::string Whole = Admitted.Workspace + '\n';
  Whole += std::string_view(Request.target().data(), Request.target().size());
  Whole += '\n' + Marks.PromptParts + '\n' + Request.body();
  return {core::rendezvousWeight("request", Whole), Marks.SharedParts};
}

bool RequestRun::isQuarantined() const {
  return !Admitted.HeaderValues.PromptParts.empty() &&
         Context.Quarantine->watchful() &&
         Context.Quarantine->refuses(subject());
}

std::int64_t RequestRun::writtenAfterMs() const {
  if (SentAt == Clock::time_point())
    return -1;
  return std::chrono::duration_cast<milliseconds>(SentAt - StartedAt).count();
}

void RequestRun::reportBreak(const serving::SelectedTarget &Target) {
  bool MayHaveKilled = SentAt != Clock::time_point() && !AnswerBegun &&
                       !Admitted.HeaderValues.PromptParts.empty();
  if (MayHaveKilled)
    Context.Quarantine->requestBroke(
        PartQuarantineService::deathId(Target.Address, Target.StartTimeMs),
        subject());
}

void RequestRun::recordAnswerBegun() {
  if (!AnswerBegun)
    Context.Quarantine->answerBegun(Admitted.HeaderValues.SharedParts);
  AnswerBegun = true;
}

bool RequestRun::mayRetry() const {
  // `attemptCount` leaves out attempts that ended with `SendResult::NotSent`.
  return Admitted.Route->repeatable() && canResume() &&
         Outcome.attemptCount() + 1 < Admitted.Route->MaxAttempts;
}

Clock::time_point
RequestRun::headDeadline(const serving::SelectedTarget &Target) const {
  Clock::time_point Now = Clock::now();
  milliseconds Timeout = !mayRetry()     ? Admitted.TimeLimit
                         : isStreaming() ? StreamHeadTimeout
                                         : BufferedHeadTimeout;
  // The target must start the request by `StartDeadline`, shortly before a
  // version of the weights that is newer than the target's takes effect. The
  // response head is awaited no longer than that.
  if (Target.StartDeadline)
    Timeout = std::min(Timeout, std::chrono::duration_cast<milliseconds>(
                                    *Target.StartDeadline - BootClock::now()));
  return std::min(Deadline, Now + Timeout);
}

platform::TargetMarks
RequestRun::targetMarks(const serving::SelectedTarget &Target) const {
  platform::TargetMarks Marks;
  Marks.TimeLeft = std::max(
      milliseconds(1),
      std::chrono::duration_cast<milliseconds>(Deadline - Clock::now()));
  Marks.Target = Target.Id;
  Marks.Workspace = Admitted.Workspace;
  Marks.Priority = Admitted.Priority;
  // Whether the request names a model; it does not for plain services.
  Marks.ForModel = !Admitted.HeaderValues.Model.empty();
  Marks.Version = Target.VersionRequired ? Target.Version : 0;
  Marks.ContinueAfter = HeadForwarded ? Splitter.lastEventId() : "";
  return Marks;
}

asio::awaitable<SendResult>
RequestRun::exchange(const serving::SelectedTarget &Target) {
  Attempt = std::make_unique<TargetSend>(Context, Target);
  SentAt = Clock::time_point();
  AnswerBegun = false;
  LastFeedback = TargetFeedback::Abandoned;
  if (!Context.Targets.maySend(Target, requirements(), BootClock::now()))
    co_return SendResult::Withheld;
  Clock::time_point HeadDeadline = headDeadline(Target);
  bool Connected =
      co_await Attempt->connect(!Admitted.Route->repeatable(), HeadDeadline);
  if (!Connected) {
    LastFeedback = Clock::now() >= HeadDeadline ? TargetFeedback::Abandoned
                                                : TargetFeedback::Broken;
    co_return SendResult::NotSent;
  }
  // Connecting may have taken a while.
  if (!Context.Targets.maySend(Target, requirements(), BootClock::now())) {
    Attempt->releaseUnused();
    co_return SendResult::Withheld;
  }
  auto Fields = platform::targetFields(Request.base(), targetMarks(Target));
  SentAt = Clock::now();
  TargetSend::Result Result = co_await Attempt->start(
      Request, Fields, Admitted.HeaderValues.Id, HeadDeadline);
  switch (Result) {
  case TargetSend::Result::NotSent:
    LastFeedback = TargetFeedback::Abandoned;
    co_return SendResult::NotSent;
  case TargetSend::Result::Broken:
  case TargetSend::Result::End:
    LastFeedback =
        deadlinePassed() ? TargetFeedback::Abandoned : TargetFeedback::Broken;
    co_return SendResult::Unknown;
  case TargetSend::Result::TimedOut:
    LastFeedback =
        deadlinePassed() ? TargetFeedback::Abandoned : TargetFeedback::Silent;
    co_return SendResult::Unknown;
  case TargetSend::Result::Data:
    break;
  }
  Context.Limits->heard(Target, Attempt->headerValues().RateLimit);
  if (Attempt->headerValues().NotRun) {
    // 421 (Misdirected Request): the target at this address was restarted or
    // has another version of the weights. Any other refusal is taken as a lack
    // of capacity.
    LastFeedback = Attempt->status() == 421 ? TargetFeedback::Mismatch
                                            : TargetFeedback::Full;
    co_return SendResult::Refused;
  }
  recordResponseTime(Target);
  if (isStreaming() && Attempt->status() == 200)
    co_return co_await forwardStream();
  co_return co_await bufferResponse();
}

asio::awaitable<SendResult> RequestRun::bufferResponse() {
  AnswerBegun = true;
  BufferedBody.clear();
  BufferedStatus = Attempt->status();
  BufferedHead = platform::callerFields(Attempt->head());
  for (;;) {
    TargetSend::Result Result = co_await Attempt->next(
        Deadline, Deadline - Clock::now() > milliseconds(0) ? Admitted.TimeLimit
                                                            : milliseconds(0));
    if (Result == TargetSend::Result::End)
      break;
    bool TooLarge = BufferedBody.size() > MaxBufferedBytes;
    if (Result != TargetSend::Result::Data || TooLarge) {
      LastFeedback =
          deadlinePassed() ? TargetFeedback::Abandoned : TargetFeedback::Broken;
      co_return SendResult::Unknown;
    }
    BufferedBody += Attempt->bodyData();
  }
  bool IsServerError = BufferedStatus >= 500;
  LastFeedback =
      IsServerError ? TargetFeedback::Failed : TargetFeedback::Served;
  Attempt->release();
  co_return IsServerError ? SendResult::Failed : SendResult::Answered;
}

asio::awaitable<SendResult> RequestRun::forwardStream() {
  Splitter.beginResponse();
  bool Resumes = HeadForwarded;
  Clock::time_point EventDeadline = Clock::now() + StreamEventTimeout;
  for (;;) {
    milliseconds Timeout = Admitted.TimeLimit;
    if (mayRetry())
      Timeout = std::chrono::duration_cast<milliseconds>(EventDeadline -
                                                         Clock::now());
    TargetSend::Result Result = co_await Attempt->next(Deadline, Timeout);
    if (Caller->disconnected())
      co_return SendResult::Unknown;
    if (Result == TargetSend::Result::End && brokeOffAtEnd())
      Result = TargetSend::Result::Broken;
    bool AtEnd = Result == TargetSend::Result::End;
    if (!AtEnd && Result != TargetSend::Result::Data) {
      LastFeedback = deadlinePassed() ? TargetFeedback::Abandoned
                     : Result == TargetSend::Result::TimedOut
                         ? TargetFeedback::Silent
                         : TargetFeedback::Broken;
      Attempt->cancel();
      co_return SendResult::Unknown;
    }
    std::string Events;
    if (!AtEnd)
      Events = Splitter.feed(Attempt->bodyData());
    if (Resumes && isNoContinuation()) {
      LastFeedback = TargetFeedback::Failed;
      Attempt->cancel();
      co_return SendResult::Unknown;
    }
    if (!Events.empty())
      recordAnswerBegun();
    if (!HeadForwarded && (AtEnd || !Events.empty())) {
      HeadForwarded = true;
      ResponseVersion = Attempt->headerValues().Version;
      recordFirstByte();
      if (!co_await Caller->startStream(
              Attempt->status(), platform::callerFields(Attempt->head())))
        co_return SendResult::Unknown;
    }
    bool Delivered = true;
    if (!Events.empty()) {
      recordStreamPause();
      Delivered = co_await Caller->writeChunk(std::move(Events));
      EventDeadline = Clock::now() + StreamEventTimeout;
    }
    if (!Delivered) {
      LastFeedback = TargetFeedback::Abandoned;
      Caller->abort();
      finish("caller left", 0);
      co_return SendResult::Unknown;
    }
    if (AtEnd)
      break;
    if (Splitter.pendingBytes() > MaxEventBytes) {
      LastFeedback = TargetFeedback::Broken;
      Attempt->cancel();
      co_return SendResult::Unknown;
    }
  }
  LastFeedback = TargetFeedback::Served;
  Attempt->release();
  bool Completed = co_await Caller->finishStream();
  finish(Completed ? "served" : "caller left", 200);
  co_return SendResult::Answered;
}

bool RequestRun::brokeOffAtEnd() const {
  // Without a length or chunks, the end of a connection on which nothing came
  // looks like that of a stream without events.
  bool NothingCame = !AnswerBegun && Attempt->endsWithConnection();
  return NothingCame || Splitter.insideEvent();
}

bool RequestRun::isNoContinuation() const {
  namespace http_ = boost::beast::http;
  auto Type = Attempt->head()[http_::field::content_type];
  bool IsOtherType =
      !Type.empty() && !boost::algorithm::istarts_with(Type, EventStreamType);
  return IsOtherType || Splitter.diverged();
}

asio::awaitable<void> RequestRun::forwardBuffered() {
  recordFirstByte();
  bool Completed = co_await Caller->respond(BufferedStatus, BufferedHead,
                                            std::move(BufferedBody));
  finish(!Completed             ? "caller left"
         : BufferedStatus < 400 ? "served"
                                : "answered",
         BufferedStatus);
}

milliseconds RequestRun::retryAfter() {
  milliseconds Time = randomRetryAfter(Context.random());
  // A caller's next attempt may go to the targets of this one too.
  serving::TargetRequirements Demand = requirements();
  Demand.Tried = nullptr;
  BootTime Now = BootClock::now();
  if (auto PausedUntil = Context.Targets.allPausedUntil(Demand, Now))
    Time += std::chrono::ceil<milliseconds>(*PausedUntil - Now);
  return Time;
}

asio::awaitable<void> RequestRun::refuse(unsigned Status, const char *Reason) {
  platform::HttpFields Fields;
  if (Status == 503)
    Fields.set("Retry-After", inSeconds(retryAfter()));
  http::Response Body = http::problemResponse(
      Status, Status == 503 ? "Unavailable" : "Refused", Reason, "no");
  Fields.set("Content-Type", "application/problem+json");
  co_await Caller->respond(Status, Fields, std::move(Body.Body));
  finish(Reason, Status);
}

asio::awaitable<void> RequestRun::fail() {
  unsigned Status = deadlinePassed() ? 504 : 502;
  const char *Reason = deadlinePassed() ? "time ran out" : "target failed";
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

void RequestRun::recordFirstByte() {
  FirstByte = elapsed();
  Context.Metrics.firstByte(*FirstByte);
}

void RequestRun::recordStreamPause() {
  Clock::time_point Now = Clock::now();
  if (LastDataAt != Clock::time_point())
    LongestPause =
        std::max(LongestPause,
                 std::chrono::duration_cast<milliseconds>(Now - LastDataAt));
  LastDataAt = Now;
}

void RequestRun::finish(const char *OutcomeLabel, unsigned Status) {
  IsFinished = true;
  Context.Metrics.requestEnded(OutcomeLabel, elapsed());
  std::uint64_t Version = Context.Config ? Context.Config->Version : 0;
  auto ConfirmationAge = Context.Follower->operatorsStaleness();
  telemetry::log(
      telemetry::Level::Info, "request ended",
      {{"id", Admitted.HeaderValues.Id},
       {"outcome", std::string(OutcomeLabel)},
       {"status", std::int64_t(Status)},
       {"ms", std::int64_t(elapsed().count())},
       {"first_ms", FirstByte ? FirstByte->count() : std::int64_t(-1)},
       {"pause_ms", std::int64_t(LongestPause.count())},
       {"route", Admitted.Route ? Admitted.Route->Name : std::string()},
       {"workspace", Admitted.Workspace},
       {"target", LastTarget},
       {"target_load", LastLoad},
       {"load_age_ms", LastLoadAgeMs},
       {"sends", std::int64_t(AttemptedTargets.size())},
       {"sent_after_ms",
        LastSentAfter ? LastSentAfter->count() : std::int64_t(-1)},
       {"written_after_ms", writtenAfterMs()},
       {"reused", LastReused},
       {"waited_ms", std::int64_t(QueueTime.count())},
       {"configuration", std::int64_t(Version)},
       {"proof_age_ms",
        ConfirmationAge ? ConfirmationAge->count() : std::int64_t(-1)}});
}

} // namespace

asio::awaitable<void> runRequest(GatewayContext &Context,
                                 std::shared_ptr<CallerConnection> Caller,
                                 CallerConnection::Request &Request) {
  RequestRun Run(Context, std::move(Caller), Request);
  co_await Run.run();
}

} // namespace rosemarylane
