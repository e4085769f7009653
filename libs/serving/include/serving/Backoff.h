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
  Backoff(std::chrono::milliseconds First, std::chrono::milliseconds Longest)
      : First(First), Longest(Longest), Pause(First) {}

  bool due(core::BootTime Now) const { return Now >= Next; }

  /// @param Random uniform in [0, 1).
  void failed(core::BootTime Now, double Random) {
    Next = Now + std::chrono::duration_cast<std::chrono::milliseconds>(
                     Pause * (0.5 + Random));
    Pause = std::min(Pause * 2, Longest);
  }

  void succeeded() {
    Pause = First;
    Next = core::BootTime();
  }

private:
  std::chrono::milliseconds First;
  std::chrono::milliseconds Longest;
  std::chrono::milliseconds Pause;
  core::BootTime Next{};
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_BACKOFF_H
