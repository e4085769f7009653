#include "agent/GateLoad.h"

#include <chrono>
#include <cstddef>

namespace rosemarylane {

routing::Load loadOf(const routing::Admission &Admit,
                     const WaitingRuns &Waiting) {
  routing::Load Now = loadWhilePaused(Admit);
  Now.Credits = Admit.credits(core::TrafficClass::Interactive);
  Now.Waiting = Waiting.size();
  for (std::size_t I = 0; I < Now.ClassCapacity.size(); ++I) {
    auto Class = static_cast<core::TrafficClass>(I);
    Now.ClassCapacity[I] = Admit.credits(Class) + Waiting.freeCapacity(Class);
  }
  return Now;
}

routing::Load loadWhilePaused(const routing::Admission &Admit) {
  routing::Load Now;
  Now.InProgress = Admit.inProgress();
  Now.Latency =
      std::chrono::duration_cast<std::chrono::microseconds>(Admit.latency());
  return Now;
}

} // namespace rosemarylane
