#ifndef ROSEMARYLANE_SWARM_SLOW_LINK_H
#define ROSEMARYLANE_SWARM_SLOW_LINK_H

#include "core/Time.h"

#include <chrono>
#include <cstddef>

namespace rosemarylane::swarm {

/// Throttles chunk fetches while chunk transfers over a host's link take longer
/// than a threshold, so that responses to callers get through.
///
/// If the rate of a link drops while weights are distributed, each chunk delays
/// the responses on the same link by hundreds of milliseconds. On such a link
/// one chunk is fetched at a time, followed by a pause as long as its transfer
/// took. Only the transfer itself is measured: the time that a request waits at
/// a busy sender says nothing about this host's link.
///
/// Usage: call `recordTransfer` after each chunk and `shouldWait` before the
/// next one. One object per link, whose throttle it is, not the link itself. A
/// value type; not thread-safe.
class SlowLink {
public:
  /// @param Threshold the link counts as slow if a chunk's transfer takes
  /// longer.
  explicit SlowLink(std::chrono::nanoseconds Threshold)
      : Threshold(Threshold) {}

  /// Records the latest transfer of a chunk.
  /// @param Duration the time from the receipt of the response's header to the
  /// end of its body, so without the sender's delay.
  /// @param Now when the transfer ended.
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
