#include "routing/RateLimit.h"

#include <algorithm>

namespace rosemarylane::routing {

bool RateLimit::tryTake(double PerSecond, core::TimePoint Now) {
  if (PerSecond <= 0)
    return true;
  double Most = std::max(1.0, PerSecond);
  if (Tokens < 0) {
    Tokens = Most;
  } else {
    std::chrono::duration<double> Since = Now - FilledAt;
    Tokens = std::min(Most, Tokens + std::max(0.0, Since.count()) * PerSecond);
  }
  FilledAt = std::max(FilledAt, Now);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

std::chrono::milliseconds RateLimit::untilNext(double PerSecond) const {
  if (PerSecond <= 0 || Tokens >= 1)
    return std::chrono::milliseconds(0);
  std::chrono::duration<double> Wait((1 - std::max(0.0, Tokens)) / PerSecond);
  return std::chrono::ceil<std::chrono::milliseconds>(Wait);
}

} // namespace rosemarylane::routing
