#ifndef ROSEMARYLANE_CORE_TIME_H
#define ROSEMARYLANE_CORE_TIME_H

#include <chrono>

namespace rosemarylane::core {

/// Monotonic time, given to every decision as an argument. Never compared
/// between processes.
using TimePoint = std::chrono::steady_clock::time_point;

/// Wall-clock time, used only for what outlives a process (records in the
/// platform's service).
using WallTime = std::chrono::system_clock::time_point;

using Duration = std::chrono::nanoseconds;

} // namespace rosemarylane::core

#endif // ROSEMARYLANE_CORE_TIME_H
