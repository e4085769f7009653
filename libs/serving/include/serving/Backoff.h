#ifndef ROSEMARYLANE_SERVING_BACKOFF_H
#define ROSEMARYLANE_SERVING_BACKOFF_H

#include "core/BootClock.h"

#include <algorithm>
#include <chrono>

namespace rosemarylane::serving {

/// Spreads the tries of many processes at something that refuses them.
///
/// Load pattern: all hosts restart together and ask the same service at once;
/// it refuses most, and whoever asks again at once keeps it refusing. The pause
/// doubles with each failure and is drawn at random. A pure value type.
class Backoff {
public:
  Backoff(std::chrono::milliseconds InitialDelay,
          std::chrono::milliseconds MaxDelay)
      : InitialDelay(InitialDelay), MaxDelay(MaxDelay),
        CurrentDelay(InitialDelay) {}

  bool due(core::BootTime Now) const { return Now >= NextAttempt; }

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
