#ifndef ROSEMARYLANE_ROUTING_RATE_LIMIT_H
#define ROSEMARYLANE_ROUTING_RATE_LIMIT_H

#include "core/Time.h"

#include <chrono>

namespace rosemarylane::routing {

/// Token bucket that allows bursts of up to one second of its rate. Copyable,
/// reads no clock, and not thread-safe.
class RateLimit {
public:
  /// Takes one token.
  /// @param PerSecond the current rate; 0 means unlimited.
  /// @return whether a token was available.
  [[nodiscard]] bool tryAcquire(double PerSecond, core::TimePoint Now);

  /// @return the time until the next token is available at rate \p PerSecond.
  std::chrono::milliseconds timeUntilNext(double PerSecond) const;

private:
  /// Negative before the first call of `tryAcquire`, which fills the bucket.
  double Tokens = -1;
  core::TimePoint LastRefill;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_RATE_LIMIT_H
