#ifndef ROSEMARYLANE_SWARM_TESTS_EVENT_LOOP_H
#define ROSEMARYLANE_SWARM_TESTS_EVENT_LOOP_H

#include "core/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace rosemarylane::swarm::testing {

/// Runs actions in the order of their times.
class EventLoop {
public:
  core::TimePoint now() const { return Now; }

  void at(core::TimePoint When, std::function<void()> Work) {
    std::size_t Slot;
    if (Free.empty()) {
      Slot = Works.size();
      Works.emplace_back();
    } else {
      Slot = Free.back();
      Free.pop_back();
    }
    Works[Slot] = std::move(Work);
    Queue.push({When, Sequence++, Slot});
  }

  void after(core::Duration Delay, std::function<void()> Work) {
    at(Now + Delay, std::move(Work));
  }

  bool runOne() {
    if (Queue.empty())
      return false;
    Item Next = Queue.top();
    Queue.pop();
    Now = Next.When;
    auto Work = std::move(Works[Next.Slot]);
    Free.push_back(Next.Slot);
    Work();
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
  core::TimePoint Now = core::TimePoint() + std::chrono::hours(1);
  std::uint64_t Sequence = 0;
  std::priority_queue<Item> Queue;
  std::vector<std::function<void()>> Works;
  std::vector<std::size_t> Free;
};

} // namespace rosemarylane::swarm::testing

#endif // ROSEMARYLANE_SWARM_TESTS_EVENT_LOOP_H
