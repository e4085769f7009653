#ifndef ROSEMARYLANE_CORE_TIME_H
#define ROSEMARYLANE_CORE_TIME_H

#include <chrono>

namespace rosemarylane::core {

/// Monotonic time, passed as an argument to every function that makes a
/// decision. Must not be compared between processes.
using TimePoint = std::chrono::steady_clock::time_point;

/// Wall-clock time. Used only for data that outlives a process: records in the
/// platform's store.
using WallTime = std::chrono::system_clock::time_point;

using Duration = std::chrono::nanoseconds;

} // namespace rosemarylane::core

#endif // ROSEMARYLANE_CORE_TIME_H
