#ifndef ROSEMARYLANE_SERVING_SLIDING_COUNTS_H
#define ROSEMARYLANE_SERVING_SLIDING_COUNTS_H

#include "core/BootClock.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace rosemarylane::serving {

/// Counts events over the last two windows, in intervals that are a fraction of
/// a window.
///
/// Its size does not depend on the number of events. An event's time is known
/// only up to its interval, so each sum names whether it may leave out events
/// or include some that are too old. Value type without a clock of its own;
/// not thread-safe.
class SlidingCounts {
public:
  /// @param Window length of a window; over 0.
  explicit SlidingCounts(std::chrono::milliseconds Window)
      : Interval(std::max<core::BootClock::duration>(
            core::BootClock::duration(Window) / PerWindow,
            core::BootClock::duration(1))) {}

  void record(core::BootTime Now) {
    advance(Now);
    ++Counts[slot(Newest)];
  }

  /// @return the events of the window that ends at \p Now, and perhaps some
  /// that are older by up to one interval.
  std::uint32_t atMostInWindow(core::BootTime Now) {
    advance(Now);
    return sum(Newest - PerWindow, Newest);
  }

  /// @return the events of the window that ends at \p Now, perhaps without some
  /// of its first interval.
  std::uint32_t atLeastInWindow(core::BootTime Now) {
    advance(Now);
    return sum(Newest - PerWindow + 1, Newest);
  }

  /// @return a lower bound of the events in each window that ends between one
  /// window before \p Now and \p Now.
  std::uint32_t fewestInRecentWindows(core::BootTime Now) {
    advance(Now);
    // A window covers at least `PerWindow - 1` whole intervals.
    std::uint32_t InWindow =
        sum(Newest - 2 * PerWindow + 1, Newest - PerWindow - 1);
    std::uint32_t Fewest = InWindow;
    for (std::int64_t Last = Newest - PerWindow; Last < Newest; ++Last) {
      InWindow += Counts[slot(Last)];
      InWindow -= Counts[slot(Last - PerWindow + 1)];
      Fewest = std::min(Fewest, InWindow);
    }
    return Fewest;
  }

private:
  static constexpr std::int64_t PerWindow = 20;
  static constexpr std::int64_t Kept = 2 * PerWindow;

  static std::size_t slot(std::int64_t Number) {
    return static_cast<std::size_t>(Number % Kept);
  }

  /// Starts the interval of \p Now, and drops those that are too old.
  void advance(core::BootTime Now) {
    std::int64_t Current = Now.time_since_epoch() / Interval + Kept;
    if (Current - Newest >= Kept)
      Counts.fill(0);
    for (std::int64_t I = std::max(Newest + 1, Current - Kept + 1);
         I <= Current; ++I)
      Counts[slot(I)] = 0;
    Newest = std::max(Newest, Current);
  }

  std::uint32_t sum(std::int64_t First, std::int64_t Last) const {
    std::uint32_t Result = 0;
    for (std::int64_t I = First; I <= Last; ++I)
      Result += Counts[slot(I)];
    return Result;
  }

  core::BootClock::duration Interval;
  /// Number of the interval that is in progress; numbers are over 0.
  std::int64_t Newest = Kept;
  std::array<std::uint32_t, Kept> Counts{};
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_SLIDING_COUNTS_H
