#ifndef ROSEMARYLANE_CORE_BOOT_CLOCK_H
#define ROSEMARYLANE_CORE_BOOT_CLOCK_H

#include <chrono>

namespace rosemarylane::core {

/// A monotonic clock that keeps running while the host is suspended, unlike
/// `std::chrono::steady_clock`.
///
/// Use it for time limits that must also run out during a suspend: leases, and
/// the time since a copy of stored data was last confirmed by the store. Meets
/// the standard Clock requirements; callable from any thread.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;

  static time_point now();
};

/// A point in time on this host. Must not be sent to another process or
/// compared with another process's times.
using BootTime = BootClock::time_point;

} // namespace rosemarylane::core

#endif // ROSEMARYLANE_CORE_BOOT_CLOCK_H
