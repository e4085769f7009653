#ifndef ROSEMARYLANE_ROUTING_DRAIN_RATE_H
#define ROSEMARYLANE_ROUTING_DRAIN_RATE_H

#include "core/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace rosemarylane::routing {

/// How fast a queue is served, from the requests started in the last few
/// windows. A value type without a clock.
class DrainRate {
public:
  /// A request left the queue for a target.
  void note(core::TimePoint Now);

  /// @return how long a request with \p Ahead others before it is likely to
  /// wait; 0 while too little is known.
  core::Duration waitFor(std::size_t Ahead, core::TimePoint Now) const;

private:
  void roll(core::TimePoint Now);

  static constexpr std::chrono::milliseconds Window{500};
  std::optional<core::TimePoint> WindowStart;
  std::uint32_t InWindow = 0;
  /// Starts per second in earlier windows, smoothed; below 0 when unknown.
  double PerSecond = -1;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_DRAIN_RATE_H
