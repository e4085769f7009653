#ifndef ROSEMARYLANE_SERVING_COLD_LIMIT_H
#define ROSEMARYLANE_SERVING_COLD_LIMIT_H

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
class ColdLimit {
public:
  /// @param Rate requests per second that all gateways together may send.
  /// @param Sharers gateways that share the rate; at least 1.
  [[nodiscard]] bool tryTake(double Rate, std::size_t Sharers,
                             core::BootTime Now) {
    if (!ready(Rate, Sharers, Now))
      return false;
    Saved -= 1;
    return true;
  }

  /// @return whether `tryTake` would succeed.
  bool ready(double Rate, std::size_t Sharers, core::BootTime Now) {
    refill(Rate / static_cast<double>(std::max<std::size_t>(Sharers, 1)), Now);
    return Saved >= 1;
  }

private:
  /// Requests that may be saved up; keeps bursts of all gateways together far
  /// below the tolerance of a cold target.
  static constexpr double MaxSaved = 1.5;

  void refill(double PerSecond, core::BootTime Now) {
    if (Last != core::BootTime()) {
      double Seconds = std::chrono::duration<double>(Now - Last).count();
      Saved = std::min(MaxSaved, Saved + PerSecond * Seconds);
    }
    Last = Now;
  }

  core::BootTime Last{};
  double Saved = 0;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_COLD_LIMIT_H
