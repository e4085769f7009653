#ifndef ROSEMARYLANE_SERVING_ADMISSION_QUEUE_H
#define ROSEMARYLANE_SERVING_ADMISSION_QUEUE_H

#include "core/BootClock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace rosemarylane::serving {

/// Requests that wait for a free place at a service's targets.
///
/// Load pattern: bursts that fill every slot for some hundred milliseconds.
/// The most urgent request goes first, then the one that came first. Each
/// waits no longer than it can still be answered in time; the line's length is
/// bounded. Not thread-safe.
class AdmissionQueue {
public:
  /// Tries to start the request. @return whether it took a place.
  using Start = std::function<bool()>;

  /// Leaves the line when destroyed.
  class Ticket {
  public:
    Ticket(AdmissionQueue &Queue, std::pair<std::uint32_t, std::uint64_t> Key)
        : Queue(Queue), Key(Key) {}
    ~Ticket() { Queue.Waiting.erase(Key); }
    Ticket(const Ticket &) = delete;
    Ticket &operator=(const Ticket &) = delete;

  private:
    AdmissionQueue &Queue;
    std::pair<std::uint32_t, std::uint64_t> Key;
  };

  explicit AdmissionQueue(std::size_t Capacity) : Capacity(Capacity) {}

  /// @return nothing if the line is full.
  std::unique_ptr<Ticket> enqueue(std::uint32_t Priority, Start TryStart) {
    if (Waiting.size() >= Capacity)
      return nullptr;
    auto Key = std::make_pair(Priority, ++NextSequence);
    Waiting.emplace(Key, std::move(TryStart));
    return std::make_unique<Ticket>(*this, Key);
  }

  /// A place may have become free: starts requests in order until one finds
  /// none. A started request leaves the line on its own later; it is not asked
  /// again.
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
  std::uint64_t NextSequence = 0;
  std::map<std::pair<std::uint32_t, std::uint64_t>, Start> Waiting;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_ADMISSION_QUEUE_H
