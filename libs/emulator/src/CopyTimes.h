#ifndef ROSEMARYLANE_EMULATOR_COPY_TIMES_H
#define ROSEMARYLANE_EMULATOR_COPY_TIMES_H

#include "core/Time.h"
#include "emulator/RolloutModel.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace rosemarylane::emulator {

/// Conversions from and to the units of `FleetSettings` and `FleetResult`.

inline std::chrono::nanoseconds inTime(const FleetSettings &Settings,
                                       double CopyTimes) {
  return std::chrono::nanoseconds(static_cast<std::int64_t>(
      CopyTimes * static_cast<double>(Settings.CopyTime.count())));
}

/// @param Start when the run began.
inline double inCopyTimes(core::TimePoint Time, const FleetSettings &Settings,
                          core::TimePoint Start) {
  return std::chrono::duration<double>(Time - Start) /
         std::chrono::duration<double>(Settings.CopyTime);
}

inline double inCopies(std::size_t Chunks, const FleetSettings &Settings) {
  return static_cast<double>(Chunks) / static_cast<double>(Settings.Chunks);
}

} // namespace rosemarylane::emulator

#endif // ROSEMARYLANE_EMULATOR_COPY_TIMES_H
