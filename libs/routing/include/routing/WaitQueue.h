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

/// A bounded queue of waiting requests: the highest class leaves first, and
/// within a class the oldest.
///
/// When it is full, a request displaces the newest one of a lower class, if
/// there is any. `Item` names a request; the queue does not look into it.
template <typename Item> class WaitQueue {
public:
  explicit WaitQueue(std::size_t Capacity) : Capacity(Capacity) {}

  /// Adds \p What, which waits until \p Deadline.
  /// @return the request that is refused for it: none, one of a lower class, or
  /// \p What itself.
  std::optional<Item> push(core::TrafficClass Class, core::TimePoint Deadline,
                           Item What) {
    std::optional<Item> Refused;
    if (size() >= Capacity) {
      auto *Lowest = lowestBelow(Class);
      if (!Lowest)
        return What;
      Refused = std::move(Lowest->back().second);
      Lowest->pop_back();
    }
    of(Class).emplace_back(Deadline, std::move(What));
    return Refused;
  }

  /// Takes the next request of a class that \p MayStart accepts.
  template <typename Accept> std::optional<Item> pop(Accept MayStart) {
    for (std::size_t I = 0; I < Queues.size(); ++I) {
      if (Queues[I].empty())
        continue;
      // A lower class does not overtake a higher one that waits.
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

  /// Removes \p What, because its caller has left.
  /// @return whether it was waiting.
  bool remove(const Item &What) {
    return !removeIf([&](const Waiting &W) {
              return W.second == What;
            }).empty();
  }

  /// A lower capacity holds for requests still to come.
  void setCapacity(std::size_t Value) { Capacity = Value; }

  /// @return the request that `pop` would take, or null.
  const Item *front() const {
    for (const auto &Queue : Queues)
      if (!Queue.empty())
        return &Queue.front().second;
    return nullptr;
  }

  /// @return waiting requests of \p Class and higher ones.
  std::size_t sizeUpTo(core::TrafficClass Class) const {
    std::size_t Sum = 0;
    for (std::size_t I = 0; I <= static_cast<std::size_t>(Class); ++I)
      Sum += Queues[I].size();
    return Sum;
  }

  /// @return how many more requests of \p Class would be taken, counting those
  /// that displace others.
  std::size_t room(core::TrafficClass Class) const {
    std::size_t Fixed = sizeUpTo(Class);
    return Capacity > Fixed ? Capacity - Fixed : 0;
  }

  std::size_t size() const {
    std::size_t Sum = 0;
    for (const auto &Queue : Queues)
      Sum += Queue.size();
    return Sum;
  }

private:
  using Waiting = std::pair<core::TimePoint, Item>;

  std::deque<Waiting> &of(core::TrafficClass Class) {
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

  static constexpr std::size_t Classes = 3;
  std::size_t Capacity;
  std::array<std::deque<Waiting>, Classes> Queues;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_WAIT_QUEUE_H
