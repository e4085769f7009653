#ifndef ROSEMARYLANE_SERVING_WARMUP_RATE_LIMITER_H
#define ROSEMARYLANE_SERVING_WARMUP_RATE_LIMITER_H

#include "core/BootClock.h"

#include <algorithm>

namespace rosemarylane::serving {

/// Bounds the requests that one gateway sends to one cold target.
///
/// Load pattern: a target comes up cold with all its slots free, and every
/// gateway finds it the least loaded at once. Only the gateways of its own
/// failure domain send to it, each with an equal part of its rate, so that the
/// sum holds without a coordinator. Starts empty: a gateway that has just come
/// up itself has no burst. A value type.
class WarmupRateLimiter {
public:
  /// @param Rate requests per second that all gateways together may send.
  /// @param Sharers gateways that share the rate; at least 1.
  [[nodiscard]] bool tryAcquire(double Rate, std::size_t GatewayCount,
                                core::BootTime Now) {
    if (!canAcquire(Rate, GatewayCount, Now))
      return false;
    Tokens -= 1;
    return true;
  }

  /// @return whether `tryAcquire` would succeed.
  bool canAcquire(double Rate, std::size_t GatewayCount, core::BootTime Now) {
    refill(Rate / static_cast<double>(std::max<std::size_t>(GatewayCount, 1)),
           Now);
    return Tokens >= 1;
  }

private:
  /// Requests that may be saved up; keeps bursts of all gateways together far
  /// below the tolerance of a cold target.
  static constexpr double MaxTokens = 1.5;

  void refill(double PerSecond, core::BootTime Now) {
    if (LastRefill != core::BootTime()) {
      double Seconds = std::chrono::duration<double>(Now - LastRefill).count();
      Tokens = std::min(MaxTokens, Tokens + PerSecond * Seconds);
    }
    LastRefill = Now;
  }

  core::BootTime LastRefill{};
  double Tokens = 0;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_WARMUP_RATE_LIMITER_H
