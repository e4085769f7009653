#include "routing/RateLimit.h"

#include <algorithm>

namespace rosemarylane::routing {

bool RateLimit::tryAcquire(double PerSecond, core::TimePoint Now) {
  if (PerSecond <= 0)
    return true;
  double Burst = std::max(1.0, PerSecond);
  if (Tokens < 0) {
    Tokens = Burst;
  } else {
    std::chrono::duration<double> Since = Now - LastRefill;
    Tokens = std::min(Burst, Tokens + std::max(0.0, Since.count()) * PerSecond);
  }
  LastRefill = std::max(LastRefill, Now);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

std::chrono::milliseconds RateLimit::timeUntilNext(double PerSecond) const {
  if (PerSecond <= 0 || Tokens >= 1)
    return std::chrono::milliseconds(0);
  std::chrono::duration<double> Wait((1 - std::max(0.0, Tokens)) / PerSecond);
  return std::chrono::ceil<std::chrono::milliseconds>(Wait);
}

} // namespace rosemarylane::routing
