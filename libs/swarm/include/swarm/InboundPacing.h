#ifndef ROSEMARYLANE_SWARM_INBOUND_PACING_H
#define ROSEMARYLANE_SWARM_INBOUND_PACING_H

#include "swarm/TokenBucket.h"

#include <cstddef>
#include <cstdint>

namespace rosemarylane::swarm {

/// Paces the chunks that a host receives, so that they leave a part of its link
/// to live traffic.
///
/// Pulls from peers wait while the rate is used up. Reads do not wait, since
/// other hosts depend on them, but what they bring counts against the rate.
/// Only bytes that arrive count: readers are asked again and again while the
/// origin is away, and chunks that never came must not delay those that do.
///
/// Usage: start a pull only if `pullAllowed`; report its start and end, and the
/// end of each read. One object per link, shared by all versions. Not
/// thread-safe.
class InboundPacing {
public:
  /// @param BytesPerSecond the rate; 0 for no limit.
  /// @param Burst what an idle link may receive at once, in bytes.
  InboundPacing(std::uint64_t BytesPerSecond, std::uint64_t Burst)
      : Link(BytesPerSecond, Burst) {}

  void setRate(std::uint64_t BytesPerSecond, core::TimePoint Now) {
    Link.setRate(BytesPerSecond, Now);
  }

  bool pullAllowed(core::TimePoint Now) { return Link.ready(Now); }

  /// @param Expected the size of the chunk, in bytes.
  void pullStarted(std::size_t Expected, core::TimePoint Now) {
    Link.take(Expected, Now);
  }

  /// @param Expected as passed to `pullStarted`.
  /// @param Received the bytes that arrived.
  void pullEnded(std::size_t Expected, std::size_t Received,
                 core::TimePoint Now) {
    // Only the difference: a refund beyond the burst would be lost, and the
    // pull then be charged twice.
    if (Received < Expected)
      Link.refund(Expected - Received, Now);
    else
      Link.take(Received - Expected, Now);
  }

  /// @param Received the bytes that arrived.
  void readEnded(std::size_t Received, core::TimePoint Now) {
    Link.take(Received, Now);
  }

private:
  TokenBucket Link;
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_INBOUND_PACING_H
