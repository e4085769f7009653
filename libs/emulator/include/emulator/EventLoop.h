#ifndef ROSEMARYLANE_EMULATOR_EVENT_LOOP_H
#define ROSEMARYLANE_EMULATOR_EVENT_LOOP_H

#include "core/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace rosemarylane::emulator {

/// A discrete-event loop with simulated time. Actions run in the order of their
/// times, and in the order of submission at equal times.
///
/// Usage: schedule actions by `at` and `after`, then call `runOne` until it
/// returns false. Not thread-safe.
class EventLoop {
public:
  core::TimePoint now() const { return Now; }

  void at(core::TimePoint When, std::function<void()> Action) {
    std::size_t Slot;
    if (FreeSlots.empty()) {
      Slot = Actions.size();
      Actions.emplace_back();
    } else {
      Slot = FreeSlots.back();
      FreeSlots.pop_back();
    }
    Actions[Slot] = std::move(Action);
    Queue.push({When, Sequence++, Slot});
  }

  void after(core::Duration Delay, std::function<void()> Action) {
    at(Now + Delay, std::move(Action));
  }

  /// Advances the time to the next action and runs it.
  /// @return false if no action is left.
  bool runOne() {
    if (Queue.empty())
      return false;
    Item Next = Queue.top();
    Queue.pop();
    Now = Next.When;
    auto Action = std::move(Actions[Next.Slot]);
    FreeSlots.push_back(Next.Slot);
    Action();
    return true;
  }

private:
  struct Item {
    core::TimePoint When;
    std::uint64_t Sequence;
    std::size_t Slot;
    bool operator<(const Item &Other) const {
      return When != Other.When ? When > Other.When : Sequence > Other.Sequence;
    }
  };
  /// Starts late enough that `TimePoint()`, which stands for a time that is not
  /// set or for an event that never happened, lies far in the past.
  core::TimePoint Now = core::TimePoint() + std::chrono::hours(1);
  std::uint64_t Sequence = 0;
  std::priority_queue<Item> Queue;
  std::vector<std::function<void()>> Actions;
  std::vector<std::size_t> FreeSlots;
};

} // namespace rosemarylane::emulator

#endif // ROSEMARYLANE_EMULATOR_EVENT_LOOP_H
