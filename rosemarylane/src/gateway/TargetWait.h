#ifndef ROSEMARYLANE_GATEWAY_TARGET_WAIT_H
#define ROSEMARYLANE_GATEWAY_TARGET_WAIT_H

#include "gateway/Admission.h"
#include "gateway/GatewayContext.h"
#include "gateway/QuarantineCheck.h"
#include "serving/AdmissionQueue.h"
#include "serving/LoadBalancer.h"
#include "serving/PlaceForecast.h"
#include "serving/WaitLimit.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <optional>

namespace rosemarylane {

/// Selects the target of each attempt of one request, and waits in the queue of
/// its service while no target has room.
///
/// Used on the thread of the event loop. The constructor's arguments must
/// outlive it, and it must outlive the coroutine that awaits `acquire`.
class TargetWait {
public:
  using Clock = std::chrono::steady_clock;

  TargetWait(GatewayContext &Context, const AdmittedRequest &Admitted,
             const QuarantineCheck &Quarantine, Clock::time_point StartedAt)
      : Context(Context), Admitted(Admitted), Quarantine(Quarantine),
        StartedAt(StartedAt), Timer(Context.Loop) {}

  /// Selects a target and counts the request as sent to it, until
  /// `LoadBalancer::recordResult` is called. Doesn't wait if the request may be
  /// refused and its turn is expected too late.
  /// @param Demand what the request requires of its target; must stay valid
  /// until the coroutine ends.
  /// @param QueueDeadline when to leave the queue.
  /// @param Entry whether the request joins the queue if it is full.
  /// @return empty if no target was found, or if `cancel` was called before one
  /// was.
  ///
  /// While it waits, a newcomer may displace it; see `displacement`.
  boost::asio::awaitable<std::optional<serving::SelectedTarget>>
  acquire(const serving::TargetRequirements &Demand,
          Clock::time_point QueueDeadline, serving::QueueEntry Entry);

  /// @return when a request leaves the queue whose caller has got nothing yet,
  /// and has to be answered by \p Deadline.
  Clock::time_point queueDeadline(Clock::time_point Deadline) const;

  /// The same without waiting.
  std::optional<serving::SelectedTarget>
  trySelect(const serving::TargetRequirements &Demand) {
    return selectAndReserve(Demand);
  }

  /// @return whether a target may turn up after `acquire` found none that may
  /// get the request at all.
  bool mayFindLater() const;

  /// Waits outside the queue until it is worth looking again.
  /// @return whether to look: not from \p Until on, nor after `cancel`.
  boost::asio::awaitable<bool> awaitRecheck(Clock::time_point Until);

  /// Sets by when the request has to begin at a target, since the process ends
  /// soon after. From then on `acquire` finds none, and doesn't wait.
  void setLastStart(Clock::time_point At) {
    LastStart = At;
    Timer.cancel();
  }

  /// Ends the wait in progress.
  void cancel() {
    Cancelled = true;
    Timer.cancel();
  }

  /// @return why no target was acquired.
  const char *failureReason() const;

  /// @return to whom and why the request lost its place in the queue; empty if
  /// it didn't.
  const std::optional<serving::Displacement> &displacement() const {
    return Displaced;
  }

  /// @return when `acquire` expected the request to start, which it therefore
  /// didn't let wait; empty if it found no such reason.
  std::optional<std::chrono::milliseconds> turnTooLate() const {
    return TurnTooLate;
  }

  /// @return when a place is expected for the request, if it was refused
  /// because there was none; empty if that is unknown or was not the reason.
  std::optional<std::chrono::milliseconds> roomIn() const;

  /// @return how long the request may wait, from its arrival on.
  serving::WaitLimit limit() const;
  /// @return the rank of the request among those that wait, from what its
  /// caller had left on its arrival.
  std::uint32_t rank() const;

  /// @return the time spent in the queue so far, over all attempts.
  std::chrono::milliseconds queueTime() const { return QueueTime; }

private:
  std::optional<serving::SelectedTarget>
  selectAndReserve(const serving::TargetRequirements &Demand);
  /// @return the request as the queue sees it.
  serving::QueuedRequest
  queuedRequest(const serving::TargetRequirements &Demand) const;
  /// @return whether workspaces share the queue fairly, and requests may
  /// displace others: the configuration has several workspaces.
  bool sharesFairly() const { return Admitted.Config->Workspaces.size() > 1; }
  /// Records once what the request asks for.
  void recordDemand(const serving::QueuedRequest &Queued);
  /// @return whether all targets that may get the request want none until
  /// after \p Until.
  bool allPausedPast(const serving::TargetRequirements &Demand,
                     Clock::time_point Until) const;

  serving::PlaceForecast &forecast() const {
    return Context.PlaceForecasts[Admitted.Service];
  }
  void recordStart(const std::optional<serving::SelectedTarget> &Chosen);
  /// @return whether the request can't begin at a target in time any more.
  bool isTooLate() {
    StartsTooLate =
        StartsTooLate || Context.Stop.isOver() || Clock::now() >= LastStart;
    return StartsTooLate;
  }
  /// Waits until `Timer` is cancelled and \p Waits isn't set any more, or until
  /// \p Deadline.
  boost::asio::awaitable<void> waitInQueue(const bool &Waits,
                                           Clock::time_point Deadline);
  /// @return the time until the request's turn if it joins the queue now and
  /// that is too late.
  std::optional<std::chrono::milliseconds>
  lateTurn(const serving::QueuedRequest &Queued,
           serving::QueueEntry Entry) const;

  GatewayContext &Context;
  const AdmittedRequest &Admitted;
  const QuarantineCheck &Quarantine;
  Clock::time_point StartedAt;
  boost::asio::steady_timer Timer;
  serving::SelectionFailure Failure = serving::SelectionFailure::Unavailable;
  std::optional<serving::Displacement> Displaced;
  std::optional<std::chrono::milliseconds> TurnTooLate;
  std::chrono::milliseconds QueueTime{0};
  Clock::time_point LastStart = Clock::time_point::max();
  /// The request was not sent since it would not have ended in time.
  bool StartsTooLate = false;
  bool DemandRecorded = false;
  bool Cancelled = false;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_TARGET_WAIT_H
