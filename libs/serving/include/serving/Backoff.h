#ifndef ROSEMARYLANE_SERVING_BACKOFF_H
#define ROSEMARYLANE_SERVING_BACKOFF_H

#include "core/BootClock.h"

#include <algorithm>
#include <chrono>

namespace rosemarylane::serving {

/// Randomized exponential backoff.
///
/// Keeps processes that restart together from overloading a service with
/// synchronized retries: the service refuses most of them, and callers that
/// retry at once keep it refusing. The delay doubles with each failure up to a
/// maximum and is spread at random. Value type without a clock of its own; not
/// thread-safe.
class Backoff {
public:
  Backoff(std::chrono::milliseconds InitialDelay,
          std::chrono::milliseconds MaxDelay)
      : InitialDelay(InitialDelay), MaxDelay(MaxDelay),
        CurrentDelay(InitialDelay) {}

  bool due(core::BootTime Now) const { return Now >= NextAttempt; }

  /// Schedules the next attempt.
  /// @param Random uniform in [0, 1).
  void recordFailure(core::BootTime Now, double Random) {
    NextAttempt = Now + std::chrono::duration_cast<std::chrono::milliseconds>(
                            CurrentDelay * (0.5 + Random));
    CurrentDelay = std::min(CurrentDelay * 2, MaxDelay);
  }

  void recordSuccess() {
    CurrentDelay = InitialDelay;
    NextAttempt = core::BootTime();
  }

private:
  std::chrono::milliseconds InitialDelay;
  std::chrono::milliseconds MaxDelay;
  std::chrono::milliseconds CurrentDelay;
  core::BootTime NextAttempt{};
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_BACKOFF_H
