#include "gateway/TargetWait.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace rosemarylane {

namespace asio = boost::asio;
using core::BootClock;
using core::BootTime;
using serving::SelectionFailure;
using std::chrono::milliseconds;

namespace {

/// Time after which a begun stream looks again for a target, while none may get
/// it, or for a retry: configurations, registrations, evacuations and the end
/// of other retries change that, and time alone.
constexpr milliseconds RecheckPeriod{50};
/// Tokens of a prompt that take an engine as long as one token of a response.
constexpr double PromptTokensPerOutputToken = 10;

/// @return what a request costs its target, in tokens of a prompt. Plain
/// requests cost one each.
double expectedCost(const platform::RequestMarks &Marks) {
  double Output = PromptTokensPerOutputToken * Marks.ExpectedTokens;
  return std::max(1.0, Marks.PromptTokens + Output);
}

/// Counts a request among those that wait at a forecast, until `end` is called
/// or it is destroyed.
class CountedWait {
public:
  CountedWait(serving::PlaceForecast &Forecast, std::uint32_t Priority)
      : Forecast(&Forecast), Priority(Priority) {
    Forecast.recordJoin(Priority, BootClock::now());
  }
  ~CountedWait() { end(); }
  CountedWait(const CountedWait &) = delete;
  CountedWait &operator=(const CountedWait &) = delete;

  void end() {
    if (Forecast)
      Forecast->recordLeave(Priority, BootClock::now());
    Forecast = nullptr;
  }

private:
  serving::PlaceForecast *Forecast;
  std::uint32_t Priority;
};

} // namespace

const char *TargetWait::failureReason() const {
  if (Quarantine.isRefused())
    return "such requests crash targets";
  if (Displaced)
    return Displaced->Reason == serving::DisplacementReason::LessUrgent
               ? "displaced by a more urgent request"
               : "displaced, workspace over its share";
  if (StartsTooLate)
    return "gateway stops";
  if (TurnTooLate)
    return "its turn comes too late";
  switch (Failure) {
  case SelectionFailure::Full:
    return "no free place";
  case SelectionFailure::Paused:
    return "targets want no requests";
  case SelectionFailure::Unavailable:
    break;
  }
  return "no usable target";
}

bool TargetWait::allPausedPast(const serving::TargetRequirements &Demand,
                               Clock::time_point Until) const {
  BootTime Now = BootClock::now();
  auto PausedUntil = Context.Targets.allPausedUntil(Demand, Now);
  return PausedUntil && *PausedUntil - Now > Until - Clock::now();
}

std::optional<serving::SelectedTarget>
TargetWait::selectAndReserve(const serving::TargetRequirements &Demand) {
  if (Quarantine.isRefused()) {
    Failure = SelectionFailure::Unavailable;
    return std::nullopt;
  }
  BootTime Now = BootClock::now();
  auto Chosen = Context.Targets.choose(Demand, Now, Context.random(), Failure);
  if (Chosen && sharesFairly())
    Context.waitQueue(Admitted.Service).recordStart(queuedRequest(Demand), Now);
  return Chosen;
}

serving::QueuedRequest
TargetWait::queuedRequest(const serving::TargetRequirements &Demand) const {
  return {rank(), sharesFairly() ? Admitted.Workspace : "",
          expectedCost(Admitted.HeaderValues), serving::DemandClass(Demand)};
}

void TargetWait::recordDemand(const serving::QueuedRequest &Queued) {
  if (DemandRecorded || !sharesFairly())
    return;
  Context.waitQueue(Admitted.Service).recordDemand(Queued, BootClock::now());
  DemandRecorded = true;
}

TargetWait::Clock::time_point
TargetWait::queueDeadline(Clock::time_point Deadline) const {
  return std::min<Clock::time_point>(Deadline, StartedAt + limit().LeaveAfter);
}

std::uint32_t TargetWait::rank() const {
  return serving::queueRank(Admitted.Priority, limit().canKeepObjective());
}

serving::WaitLimit TargetWait::limit() const {
  const serving::Route &Route = *Admitted.Route;
  return serving::WaitLimit::of(
      {Route.LatencyObjective, Route.Timeout, Admitted.TimeLimit},
      Context.Settings.Limits.MaxQueueTimeShare);
}

std::optional<milliseconds> TargetWait::roomIn() const {
  if (Failure != SelectionFailure::Full || Quarantine.isRefused())
    return std::nullopt;
  const serving::PlaceForecast &Forecast = forecast();
  std::size_t Ahead = Forecast.waitingBefore(rank());
  return Forecast.timeUntil(Ahead, rank(), BootClock::now());
}

void TargetWait::recordStart(
    const std::optional<serving::SelectedTarget> &Chosen) {
  if (Chosen)
    forecast().recordStart(rank(), BootClock::now());
}

std::optional<milliseconds>
TargetWait::lateTurn(const serving::QueuedRequest &Queued,
                     serving::QueueEntry Entry) const {
  if (Entry == serving::QueueEntry::Always)
    return std::nullopt;
  const serving::PlaceForecast &Forecast = forecast();
  std::size_t Ahead = Context.waitQueue(Admitted.Service).ahead(Queued);
  auto Turn = Forecast.timeUntil(Ahead, rank(), BootClock::now());
  if (!limit().refuses(Turn, Forecast.anyWaiting()))
    return std::nullopt;
  return Turn;
}

asio::awaitable<std::optional<serving::SelectedTarget>>
TargetWait::acquire(const serving::TargetRequirements &Demand,
                    Clock::time_point QueueDeadline,
                    serving::QueueEntry Entry) {
  serving::AdmissionQueue &Queue = Context.waitQueue(Admitted.Service);
  std::optional<serving::SelectedTarget> Chosen;
  TurnTooLate.reset();
  if (Quarantine.isRefused() || isTooLate())
    co_return Chosen;
  serving::QueuedRequest Queued = queuedRequest(Demand);
  recordDemand(Queued);
  if (Queue.size() == 0) {
    Chosen = selectAndReserve(Demand);
    recordStart(Chosen);
    if (Chosen || Failure == SelectionFailure::Unavailable)
      co_return Chosen;
  } else if (!Context.Targets.mayServe(Demand, BootClock::now())) {
    Failure = SelectionFailure::Unavailable;
    co_return Chosen;
  }
  if (Clock::now() >= QueueDeadline) {
    Chosen = selectAndReserve(Demand);
    recordStart(Chosen);
    co_return Chosen;
  }
  if (allPausedPast(Demand, QueueDeadline)) {
    Failure = SelectionFailure::Paused;
    co_return std::nullopt;
  }
  // Whoever waits behind others is not tried before they are.
  Failure = SelectionFailure::Full;
  // A request with a late turn joins all the same, as long as it takes nobody's
  // place: `dispatch` may start it at once, since a forecast may be wrong.
  std::optional<milliseconds> LateTurn = lateTurn(Queued, Entry);
  if (LateTurn && Queue.isFull()) {
    TurnTooLate = LateTurn;
    co_return std::nullopt;
  }
  CountedWait Counted(forecast(), rank());
  bool Waits = true;
  auto TryStart = [&] {
    Chosen = selectAndReserve(Demand);
    bool InVain = Failure == SelectionFailure::Unavailable ||
                  allPausedPast(Demand, QueueDeadline);
    Waits = !Chosen && !InVain;
    if (!Waits) {
      recordStart(Chosen);
      Counted.end();
      Timer.cancel();
      return serving::StartResult::Ended;
    }
    return Context.Targets.hasRoom(Admitted.Service, BootClock::now())
               ? serving::StartResult::NoUsableSlot
               : serving::StartResult::NoSlot;
  };
  serving::AdmissionQueue::DisplacedHook OnDisplaced;
  if (sharesFairly())
    OnDisplaced = [&](const serving::Displacement &Why) {
      Displaced = Why;
      Context.Metrics.displaced(Admitted.Priority, Admitted.Workspace,
                                serving::nameOf(Why.Reason));
      Waits = false;
      Timer.cancel();
    };
  // Destroying the place removes the request from the queue.
  auto QueuePlace =
      Queue.enqueue(Queued, TryStart, std::move(OnDisplaced), Entry);
  if (!QueuePlace) {
    Failure = SelectionFailure::Full;
    co_return std::nullopt;
  }
  auto JoinedAt = Clock::now();
  Queue.dispatch();
  if (Waits && LateTurn) {
    TurnTooLate = LateTurn;
    Failure = SelectionFailure::Full;
    co_return std::nullopt;
  }
  co_await waitInQueue(Waits, QueueDeadline);
  auto Time = std::chrono::duration_cast<milliseconds>(Clock::now() - JoinedAt);
  QueueTime += Time;
  Context.Metrics.queued(Time);
  co_return Chosen;
}

asio::awaitable<void> TargetWait::waitInQueue(const bool &Waits,
                                              Clock::time_point Deadline) {
  // `setLastStart` cancels the timer, too, and the wait goes on.
  while (Waits && !Cancelled && Clock::now() < Deadline && !isTooLate()) {
    Timer.expires_at(std::min(Deadline, LastStart));
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

bool TargetWait::mayFindLater() const {
  return !StartsTooLate && Failure == SelectionFailure::Unavailable &&
         !Quarantine.isRefused();
}

asio::awaitable<bool> TargetWait::awaitRecheck(Clock::time_point Until) {
  if (!Cancelled && Clock::now() < Until) {
    Timer.expires_at(std::min(Until, Clock::now() + RecheckPeriod));
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return !Cancelled && Clock::now() < Until;
}

} // namespace rosemarylane
