#ifndef ROSEMARYLANE_ROUTING_WAIT_QUEUE_H
#define ROSEMARYLANE_ROUTING_WAIT_QUEUE_H

#include "core/Catalogue.h"
#include "core/Time.h"

#include <array>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace rosemarylane::routing {

/// Bounded priority queue of waiting requests: highest traffic class first, and
/// first in, first out within a class.
///
/// When the queue is full, a new request displaces the newest one of the lowest
/// class below its own, if there is any. Not thread-safe.
/// @tparam Item identifies a request; opaque to the queue.
template <typename Item> class WaitQueue {
public:
  explicit WaitQueue(std::size_t Capacity) : Capacity(Capacity) {}

  /// Queues \p Request until \p Deadline.
  /// @return the request that is refused as a result: none, one of a lower
  /// class, or \p Request itself.
  std::optional<Item> push(core::TrafficClass Class, core::TimePoint Deadline,
                           Item Request) {
    std::optional<Item> Refused;
    if (size() >= Capacity) {
      auto *Lowest = lowestBelow(Class);
      if (!Lowest)
        return Request;
      Refused = std::move(Lowest->back().second);
      Lowest->pop_back();
    }
    queueOf(Class).emplace_back(Deadline, std::move(Request));
    return Refused;
  }

  /// Removes and returns the next request.
  /// @param MayStart called with the class of the next request; returns whether
  /// it may start now.
  /// @return nothing if the queue is empty or \p MayStart returned false.
  template <typename Accept> std::optional<Item> pop(Accept MayStart) {
    for (std::size_t I = 0; I < Queues.size(); ++I) {
      if (Queues[I].empty())
        continue;
      // Requests of a lower class do not overtake waiting ones of a higher
      // class.
      if (!MayStart(static_cast<core::TrafficClass>(I)))
        return std::nullopt;
      Item Next = std::move(Queues[I].front().second);
      Queues[I].pop_front();
      return Next;
    }
    return std::nullopt;
  }

  /// Removes and returns the requests whose deadline has passed.
  std::vector<Item> expire(core::TimePoint Now) {
    return removeIf([&](const Waiting &W) { return W.first <= Now; });
  }

  /// Removes \p Request, for example because it was started or its caller has
  /// disconnected.
  /// @return whether it was queued.
  bool remove(const Item &Request) {
    return !removeIf([&](const Waiting &W) {
              return W.second == Request;
            }).empty();
  }

  /// Changes the capacity. Requests that are already queued stay.
  void setCapacity(std::size_t Value) { Capacity = Value; }

  /// @return the request at the head of the queue, or null.
  const Item *front() const {
    for (const auto &Queue : Queues)
      if (!Queue.empty())
        return &Queue.front().second;
    return nullptr;
  }

  /// @return the number of queued requests of \p Class and higher classes.
  std::size_t sizeAtOrAbove(core::TrafficClass Class) const {
    std::size_t Sum = 0;
    for (std::size_t I = 0; I <= static_cast<std::size_t>(Class); ++I)
      Sum += Queues[I].size();
    return Sum;
  }

  /// @return the number of further requests of \p Class that would be accepted,
  /// including those that displace requests of lower classes.
  std::size_t freeCapacity(core::TrafficClass Class) const {
    std::size_t NotDisplaceable = sizeAtOrAbove(Class);
    return Capacity > NotDisplaceable ? Capacity - NotDisplaceable : 0;
  }

  std::size_t size() const {
    std::size_t Sum = 0;
    for (const auto &Queue : Queues)
      Sum += Queue.size();
    return Sum;
  }

private:
  using Waiting = std::pair<core::TimePoint, Item>;

  std::deque<Waiting> &queueOf(core::TrafficClass Class) {
    return Queues[static_cast<std::size_t>(Class)];
  }

  std::deque<Waiting> *lowestBelow(core::TrafficClass Class) {
    for (std::size_t I = Queues.size();
         I-- > static_cast<std::size_t>(Class) + 1;)
      if (!Queues[I].empty())
        return &Queues[I];
    return nullptr;
  }

  template <typename Predicate> std::vector<Item> removeIf(Predicate Matches) {
    std::vector<Item> Removed;
    for (auto &Queue : Queues)
      std::erase_if(Queue, [&](Waiting &W) {
        if (!Matches(W))
          return false;
        Removed.push_back(std::move(W.second));
        return true;
      });
    return Removed;
  }

  /// Number of values of `core::TrafficClass`, as `TrafficClassCount` in
  /// Member.h, which this header does not include.
  static constexpr std::size_t ClassCount = 3;
  std::size_t Capacity;
  std::array<std::deque<Waiting>, ClassCount> Queues;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_WAIT_QUEUE_H
