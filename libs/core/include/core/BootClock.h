#ifndef ROSEMARYLANE_CORE_BOOT_CLOCK_H
#define ROSEMARYLANE_CORE_BOOT_CLOCK_H

#include <chrono>

namespace rosemarylane::core {

/// A monotonic clock that goes on while the host is suspended, unlike
/// `std::chrono::steady_clock`. Ages of proofs and leases are measured with it.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;

  static time_point now();
};

/// A moment of the own host; never compared between processes.
using BootTime = BootClock::time_point;

} // namespace rosemarylane::core

#endif // ROSEMARYLANE_CORE_BOOT_CLOCK_H
