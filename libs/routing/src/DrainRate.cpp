#include "routing/DrainRate.h"

#include <algorithm>

namespace rosemarylane::routing {

namespace {

/// Weight of the newest window.
constexpr double Smoothing = 0.5;

} // namespace

void DrainRate::recordStart(core::TimePoint Now) {
  if (!WindowStart)
    WindowStart = Now;
  rollWindow(Now);
  ++StartsInWindow;
}

void DrainRate::rollWindow(core::TimePoint Now) {
  core::Duration Since = Now - *WindowStart;
  if (Since < Window)
    return;
  std::chrono::duration<double> Seconds = Since;
  double Rate = StartsInWindow / Seconds.count();
  PerSecond = PerSecond < 0 ? Rate : PerSecond + Smoothing * (Rate - PerSecond);
  WindowStart = Now;
  StartsInWindow = 0;
}

core::Duration DrainRate::estimatedWait(std::size_t QueuedAhead,
                                        core::TimePoint Now) const {
  DrainRate Current = *this;
  if (Current.WindowStart)
    Current.rollWindow(Now);
  if (Current.PerSecond <= 0 || QueuedAhead == 0)
    return core::Duration(0);
  std::chrono::duration<double> Wait(static_cast<double>(QueuedAhead) /
                                     Current.PerSecond);
  return std::chrono::duration_cast<core::Duration>(Wait);
}

} // namespace rosemarylane::routing
