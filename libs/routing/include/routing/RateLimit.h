#ifndef ROSEMARYLANE_ROUTING_RATE_LIMIT_H
#define ROSEMARYLANE_ROUTING_RATE_LIMIT_H

#include "core/Time.h"

#include <chrono>

namespace rosemarylane::routing {

/// A token bucket: a rate with bursts of up to one second's worth.
class RateLimit {
public:
  /// Takes a token.
  /// @param PerSecond the rate in force; 0 means no limit.
  /// @return whether there was one.
  [[nodiscard]] bool tryTake(double PerSecond, core::TimePoint Now);

  /// @return when the next token comes at that rate.
  std::chrono::milliseconds untilNext(double PerSecond) const;

private:
  double Tokens = -1;
  core::TimePoint FilledAt;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_RATE_LIMIT_H
