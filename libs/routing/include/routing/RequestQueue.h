#ifndef ROSEMARYLANE_ROUTING_REQUEST_QUEUE_H
#define ROSEMARYLANE_ROUTING_REQUEST_QUEUE_H

#include "core/Catalogue.h"
#include "core/Time.h"
#include "routing/DrainRate.h"
#include "routing/WaitQueue.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>
#include <vector>

namespace rosemarylane::routing {

/// Queues the requests of one entry process that wait for a target, per
/// catalogue entry and traffic class.
///
/// A request whose expected wait exceeds its deadline is refused at once, and a
/// full queue refuses the lowest class first. Each refusal carries an estimate
/// of when to retry. Call `dispatch` whenever a target may have become
/// available. Not thread-safe.
/// @tparam Item identifies a request; must be copyable and equality comparable.
template <typename Item> class RequestQueue {
public:
  struct Refusal {
    Item Request;
    std::chrono::milliseconds RetryAfter;
  };

  /// Queues \p Request for \p Entry until \p Deadline.
  /// @return the requests that are refused as a result, which may include \p
  /// Request.
  std::vector<Refusal> push(const core::CatalogueEntry &Entry,
                            core::TrafficClass Class, core::TimePoint Deadline,
                            Item Request, core::TimePoint Now) {
    EntryState &State = stateOf(Entry);
    State.Waiting.setCapacity(Entry.Limit.Queue);
    std::size_t QueuedAhead = State.Waiting.sizeAtOrAbove(Class);
    if (Now + State.StartRate.estimatedWait(QueuedAhead, Now) > Deadline)
      return {{std::move(Request), retryAfter(State, Now)}};
    std::vector<Refusal> Refused;
    if (auto Displaced =
            State.Waiting.push(Class, Deadline, std::move(Request)))
      Refused.push_back({std::move(*Displaced), retryAfter(State, Now)});
    return Refused;
  }

  /// Removes the requests whose deadline has passed.
  std::vector<Refusal> expire(core::TimePoint Now) {
    std::vector<Refusal> Refused;
    for (auto &[Name, State] : States)
      for (Item &Expired : State.Waiting.expire(Now))
        Refused.push_back({std::move(Expired), retryAfter(State, Now)});
    return Refused;
  }

  /// Starts queued requests in order, highest class first.
  /// @param TryStart starts the given request unless no target is available;
  /// returns whether the request was started, or no longer needs to be.
  template <typename Start> void dispatch(core::TimePoint Now, Start TryStart) {
    for (auto &[Name, State] : States)
      while (const Item *Next = State.Waiting.front()) {
        // Copied because `TryStart` may modify the queue.
        Item Request = *Next;
        if (!TryStart(Request))
          break;
        State.Waiting.remove(Request);
        State.StartRate.recordStart(Now);
      }
  }

  /// Records that a request was started without being queued.
  void recordImmediateStart(const core::CatalogueEntry &Entry,
                            core::TimePoint Now) {
    stateOf(Entry).StartRate.recordStart(Now);
  }

  /// @return whether requests for \p Entry of \p Class or a higher class are
  /// queued, which a new request must not overtake.
  bool mustWait(const core::CatalogueEntry &Entry,
                core::TrafficClass Class) const {
    auto Found = States.find(Entry.Name);
    return Found != States.end() &&
           Found->second.Waiting.sizeAtOrAbove(Class) > 0;
  }

  /// Removes a request whose caller has disconnected.
  /// @return whether it was queued.
  bool remove(const Item &Request) {
    return std::any_of(States.begin(), States.end(), [&](auto &State) {
      return State.second.Waiting.remove(Request);
    });
  }

  std::size_t size() const {
    std::size_t Sum = 0;
    for (const auto &[Name, State] : States)
      Sum += State.Waiting.size();
    return Sum;
  }

private:
  struct EntryState {
    WaitQueue<Item> Waiting{0};
    DrainRate StartRate;
  };

  EntryState &stateOf(const core::CatalogueEntry &Entry) {
    return States[Entry.Name];
  }

  static std::chrono::milliseconds retryAfter(const EntryState &State,
                                              core::TimePoint Now) {
    constexpr std::chrono::milliseconds MinRetryAfter{500};
    constexpr std::chrono::milliseconds MaxRetryAfter{10000};
    auto Wait = std::chrono::duration_cast<std::chrono::milliseconds>(
        State.StartRate.estimatedWait(State.Waiting.size(), Now));
    return std::clamp(Wait, MinRetryAfter, MaxRetryAfter);
  }

  std::map<core::EntryName, EntryState> States;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_REQUEST_QUEUE_H
