#include "routing/DrainRate.h"

#include <algorithm>

namespace rosemarylane::routing {

namespace {

/// Weight of the newest window.
constexpr double Smoothing = 0.5;

} // namespace

void DrainRate::note(core::TimePoint Now) {
  if (!WindowStart)
    WindowStart = Now;
  roll(Now);
  ++InWindow;
}

void DrainRate::roll(core::TimePoint Now) {
  core::Duration Since = Now - *WindowStart;
  if (Since < Window)
    return;
  std::chrono::duration<double> Seconds = Since;
  double Rate = InWindow / Seconds.count();
  PerSecond = PerSecond < 0 ? Rate : PerSecond + Smoothing * (Rate - PerSecond);
  WindowStart = Now;
  InWindow = 0;
}

core::Duration DrainRate::waitFor(std::size_t Ahead,
                                  core::TimePoint Now) const {
  DrainRate Current = *this;
  if (Current.WindowStart)
    Current.roll(Now);
  if (Current.PerSecond <= 0 || Ahead == 0)
    return core::Duration(0);
  std::chrono::duration<double> Wait(static_cast<double>(Ahead) /
                                     Current.PerSecond);
  return std::chrono::duration_cast<core::Duration>(Wait);
}

} // namespace rosemarylane::routing
