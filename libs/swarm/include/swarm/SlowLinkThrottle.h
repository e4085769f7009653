#ifndef ROSEMARYLANE_SWARM_SLOW_LINK_THROTTLE_H
#define ROSEMARYLANE_SWARM_SLOW_LINK_THROTTLE_H

#include "core/Time.h"

#include <chrono>
#include <cstddef>

namespace rosemarylane::swarm {

/// Yields a host's link to live answers while it is much slower than its
/// settings say.
///
/// Load pattern: a link narrows while weights spread; each chunk then holds up
/// live answers for hundreds of milliseconds. On such a link one chunk is
/// fetched at a time, with a pause as long as it took. Only the time that a
/// chunk takes on the way counts: a chunk that waits at a busy sender says
/// nothing about this host's link. A value type.
class SlowLinkThrottle {
public:
  /// @param Slow a transfer of one chunk that takes longer shows a slow link.
  explicit SlowLinkThrottle(std::chrono::nanoseconds Slow) : Slow(Slow) {}

  void recordTransfer(std::chrono::nanoseconds Took, core::TimePoint Now) {
    LastTook = Took;
    LastEnd = Now;
  }

  /// @param InFlight chunks on their way now.
  /// @return whether another chunk is to wait.
  bool shouldWait(std::size_t InFlight, core::TimePoint Now) const {
    return LastTook > Slow && (InFlight > 0 || Now < LastEnd + LastTook);
  }

private:
  std::chrono::nanoseconds Slow;
  std::chrono::nanoseconds LastTook{0};
  core::TimePoint LastEnd{};
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_SLOW_LINK_THROTTLE_H
