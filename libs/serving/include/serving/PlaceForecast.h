#ifndef ROSEMARYLANE_SERVING_PLACE_FORECAST_H
#define ROSEMARYLANE_SERVING_PLACE_FORECAST_H

#include "core/BootClock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace rosemarylane::serving {

/// Foretells when a request that joins a gateway's queue would start.
///
/// Learns at which rate places at a service's targets come free to this gateway
/// while somebody waits for one; a time without anybody waiting says nothing of
/// the room. More urgent requests that arrive later overtake, so the rate at
/// which they start is taken off. Both rates are forgotten within seconds. One
/// for each service. Value type without a clock of its own; not thread-safe.
class PlaceForecast {
public:
  /// A request begins to wait. Call `recordLeave` when it no longer does.
  /// @param Priority lower numbers start first.
  void recordJoin(std::uint32_t Priority, core::BootTime Now);
  void recordLeave(std::uint32_t Priority, core::BootTime Now);

  /// @return the number of requests that wait and are at least as urgent.
  std::size_t waitingBefore(std::uint32_t Priority) const;
  bool anyWaiting() const { return !Waiting.empty(); }

  /// A request got a target, from the queue or without waiting. Call this
  /// before its `recordLeave`.
  void recordStart(std::uint32_t Priority, core::BootTime Now);

  /// @param Ahead requests that start before this one, of those that wait.
  /// @return the time within which a request starts as likely as not; empty if
  /// too little was seen to tell.
  std::optional<std::chrono::milliseconds> timeUntil(std::size_t Ahead,
                                                     std::uint32_t Priority,
                                                     core::BootTime Now) const;

private:
  using Seconds = std::chrono::duration<double>;

  void advance(core::BootTime Now);

  // Sums in which each contribution decays.
  Seconds ContendedTime{0};
  double ContendedStarts = 0;
  /// By priority; those without waiting included.
  std::map<std::uint32_t, double> Starts;

  core::BootTime UpdatedAt{};
  /// By priority; no zeros.
  std::map<std::uint32_t, std::size_t> Waiting;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_PLACE_FORECAST_H
