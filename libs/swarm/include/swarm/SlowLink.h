#ifndef ROSEMARYLANE_SWARM_SLOW_LINK_H
#define ROSEMARYLANE_SWARM_SLOW_LINK_H

#include "core/Time.h"

#include <chrono>
#include <cstddef>

namespace rosemarylane::swarm {

/// Throttles chunk fetches while a host's link is much slower than configured,
/// to leave it to live answers.
///
/// Load pattern: a link narrows while weights are distributed; each chunk then
/// delays live answers by hundreds of milliseconds. On such a link one chunk is
/// fetched at a time, followed by a pause as long as its transfer took. Only
/// the transfer time counts: a chunk that waits at a busy sender says nothing
/// about this host's link.
///
/// Usage: call `recordTransfer` after each chunk and `shouldWait` before the
/// next one. A value type; not thread-safe.
class SlowLink {
public:
  /// @param Threshold the link counts as slow if a chunk's transfer takes
  /// longer.
  explicit SlowLink(std::chrono::nanoseconds Threshold)
      : Threshold(Threshold) {}

  /// @param Duration the time that a chunk took on the way.
  void recordTransfer(std::chrono::nanoseconds Duration, core::TimePoint Now) {
    LastDuration = Duration;
    LastEnd = Now;
  }

  /// @param InFlight the number of chunks being transferred.
  /// @return whether the next fetch has to wait.
  bool shouldWait(std::size_t InFlight, core::TimePoint Now) const {
    return LastDuration > Threshold &&
           (InFlight > 0 || Now < LastEnd + LastDuration);
  }

private:
  std::chrono::nanoseconds Threshold;
  std::chrono::nanoseconds LastDuration{0};
  core::TimePoint LastEnd{};
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_SLOW_LINK_H
