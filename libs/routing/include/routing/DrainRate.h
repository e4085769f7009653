#ifndef ROSEMARYLANE_ROUTING_DRAIN_RATE_H
#define ROSEMARYLANE_ROUTING_DRAIN_RATE_H

#include "core/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace rosemarylane::routing {

/// Estimates the rate at which requests start, and from it the wait of a queued
/// request. Requests that start without being queued count too. Not related to
/// `Member::Draining`, the shutdown of a process. Copyable, reads no clock, and
/// not thread-safe.
class DrainRate {
public:
  /// Records that a request was sent to a target, from the queue or at once.
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

#endif // ROSEMARYLANE_ROUTING_DRAIN_RATE_H
