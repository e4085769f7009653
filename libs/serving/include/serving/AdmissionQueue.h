#ifndef ROSEMARYLANE_SERVING_ADMISSION_QUEUE_H
#define ROSEMARYLANE_SERVING_ADMISSION_QUEUE_H

#include "core/BootClock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace rosemarylane::serving {

/// Bounded priority queue of the requests that wait for a free slot at a
/// service's targets.
///
/// A gateway keeps one queue per service and calls `dispatch` whenever a slot
/// may have become free, so that bursts which fill every slot for some hundred
/// milliseconds are absorbed instead of refused. The request with the lowest
/// priority number starts first, then the one that arrived first. The owner of
/// a `Place` destroys it once the request can no longer be answered in time;
/// the queue has to outlive its places. Not thread-safe.
class AdmissionQueue {
public:
  /// Tries to start the request.
  /// @return whether it no longer waits: it took a slot, or has learnt that it
  /// would wait in vain.
  using Start = std::function<bool()>;

  /// A request's place in the queue; leaves the queue when destroyed.
  class Place {
  public:
    Place(AdmissionQueue &Queue, std::pair<std::uint32_t, std::uint64_t> Key)
        : Queue(Queue), Key(Key) {}
    ~Place() { Queue.Waiting.erase(Key); }
    Place(const Place &) = delete;
    Place &operator=(const Place &) = delete;

  private:
    AdmissionQueue &Queue;
    std::pair<std::uint32_t, std::uint64_t> Key;
  };

  explicit AdmissionQueue(std::size_t Capacity) : Capacity(Capacity) {}

  /// @param Priority lower numbers start first.
  /// @param TryStart called by `dispatch` until it succeeds or the place is
  /// destroyed.
  /// @return null if the queue is full.
  std::unique_ptr<Place> enqueue(std::uint32_t Priority, Start TryStart) {
    if (Waiting.size() >= Capacity)
      return nullptr;
    auto Key = std::make_pair(Priority, ++LastArrivalNumber);
    Waiting.emplace(Key, std::move(TryStart));
    return std::make_unique<Place>(*this, Key);
  }

  /// Starts requests in order until one finds no free slot. A request that no
  /// longer waits is removed and not tried again; its `Place` may be destroyed
  /// later.
  void dispatch() {
    while (!Waiting.empty()) {
      auto First = Waiting.begin();
      if (!First->second())
        return;
      Waiting.erase(First);
    }
  }

  std::size_t size() const { return Waiting.size(); }

private:
  std::size_t Capacity;
  std::uint64_t LastArrivalNumber = 0;
  /// By priority, then by arrival number.
  std::map<std::pair<std::uint32_t, std::uint64_t>, Start> Waiting;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_ADMISSION_QUEUE_H
