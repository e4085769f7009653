#ifndef ROSEMARYLANE_ROUTING_START_RATE_ESTIMATOR_H
#define ROSEMARYLANE_ROUTING_START_RATE_ESTIMATOR_H

#include "core/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace rosemarylane::routing {

/// Estimates how fast a queue drains, from the number of requests started per
/// time window. Copyable, reads no clock, and not thread-safe.
class StartRateEstimator {
public:
  /// Records that a request left the queue for a target.
  void recordStart(core::TimePoint Now);

  /// @return the expected wait of a request with \p QueuedAhead requests before
  /// it; 0 while the rate is unknown.
  core::Duration estimatedWait(std::size_t QueuedAhead,
                               core::TimePoint Now) const;

private:
  void rollWindow(core::TimePoint Now);

  static constexpr std::chrono::milliseconds Window{500};
  std::optional<core::TimePoint> WindowStart;
  std::uint32_t StartsInWindow = 0;
  /// Exponentially smoothed starts per second of the completed windows;
  /// negative while unknown.
  double PerSecond = -1;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_START_RATE_ESTIMATOR_H
