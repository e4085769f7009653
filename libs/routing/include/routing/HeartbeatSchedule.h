#ifndef ROSEMARYLANE_ROUTING_HEARTBEAT_SCHEDULE_H
#define ROSEMARYLANE_ROUTING_HEARTBEAT_SCHEDULE_H

#include "routing/Membership.h"

#include <chrono>
#include <string>
#include <vector>

namespace rosemarylane::routing {

/// Selects the peers of each heartbeat round: all of them if they are few,
/// otherwise a fixed number in rotation, so that the cost per process stays
/// constant as the fleet grows. Not thread-safe.
class HeartbeatSchedule {
public:
  /// Time between two rounds.
  static constexpr std::chrono::milliseconds Period{400};
  /// Maximum number of heartbeats per round.
  static constexpr std::size_t Fanout = 3;

  /// Advances to the next round.
  /// @param Peers addresses in an order that is the same in each round.
  /// @return the peers to send a heartbeat to.
  std::vector<std::string> next(const std::vector<std::string> &Peers);

  /// @return the time between two heartbeats to the same peer if there are \p
  /// Peers of them.
  static std::chrono::milliseconds interval(std::size_t Peers);

  /// @return the membership time limits for a failure domain with \p
  /// EntryProcesses entry processes.
  static MembershipSettings membershipSettings(std::size_t EntryProcesses);

private:
  std::size_t Next = 0;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_HEARTBEAT_SCHEDULE_H
