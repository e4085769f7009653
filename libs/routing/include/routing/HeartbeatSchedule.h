#ifndef ROSEMARYLANE_ROUTING_HEARTBEAT_SCHEDULE_H
#define ROSEMARYLANE_ROUTING_HEARTBEAT_SCHEDULE_H

#include "routing/Membership.h"

#include <chrono>
#include <string>
#include <vector>

namespace rosemarylane::routing {

/// Which peers get the next heartbeats: all of a few, and of many a few in
/// turn, so that the cost does not grow with their number.
class HeartbeatSchedule {
public:
  /// Time between two rounds of heartbeats.
  static constexpr std::chrono::milliseconds Period{400};
  /// Heartbeats in one round.
  static constexpr std::size_t Fanout = 3;

  /// @param Peers in an order that stays the same from round to round.
  /// @return those that get a heartbeat now.
  std::vector<std::string> next(const std::vector<std::string> &Peers);

  /// @return the time between two heartbeats to one of \p Peers peers.
  static std::chrono::milliseconds interval(std::size_t Peers);

  /// @return the time limits that fit heartbeats in a failure domain of \p
  /// Entries entries.
  static MembershipSettings limits(std::size_t Entries);

private:
  std::size_t Next = 0;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_HEARTBEAT_SCHEDULE_H
