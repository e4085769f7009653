#include "gateway/StreamPosition.h"

#include "serving/EventSequence.h"

namespace rosemarylane {

void StreamPosition::dropUpTo(const std::string &LastId) {
  while (After != LastId && !Ahead.empty()) {
    std::size_t Size = serving::firstEventSize(Ahead);
    serving::EventSequence Event;
    Event.append(std::string_view(Ahead).substr(0, Size));
    if (!Event.lastId().empty()) {
      // An event of another target may hold more than one of this one. Then no
      // event ends where the caller's last one has ended.
      if (serving::comesAfter(Event.lastId(), LastId)) {
        HasSkipped = true;
        Ahead.clear();
        return;
      }
      After = Event.lastId();
    }
    Ahead.erase(0, Size);
  }
}

} // namespace rosemarylane
