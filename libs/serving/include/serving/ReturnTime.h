#ifndef ROSEMARYLANE_SERVING_RETURN_TIME_H
#define ROSEMARYLANE_SERVING_RETURN_TIME_H

#include <chrono>
#include <cstdint>
#include <optional>

namespace rosemarylane::serving {

/// A caller whose request is refused.
struct ReturningCaller {
  /// Time until the request's deadline; 0 if unknown.
  std::chrono::milliseconds TimeLeft{0};
  /// Time until the latest start that keeps the latency objective; not above 0
  /// if that has been missed.
  std::chrono::milliseconds StartBy{0};
  /// Lower numbers are more urgent.
  std::uint32_t Priority = 0;
};

/// Draws after which time a refused caller should return.
///
/// Where the latency objective can still be kept, that is between the time at
/// which room is expected and the latest start. Otherwise callers are spread
/// over the time for which they heed the answer, the more urgent before the
/// others. Never beyond that time.
/// @param RoomIn when a place is expected for the caller; empty if unknown.
/// @param Random uniform in [0, 1).
std::chrono::milliseconds
returnTime(const ReturningCaller &Caller,
           std::optional<std::chrono::milliseconds> RoomIn, double Random);

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_RETURN_TIME_H
