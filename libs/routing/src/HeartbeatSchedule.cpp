#include "routing/HeartbeatSchedule.h"

#include <algorithm>

namespace rosemarylane::routing {

std::vector<std::string>
HeartbeatSchedule::next(const std::vector<std::string> &Peers) {
  if (Peers.size() <= Fanout)
    return Peers;
  std::vector<std::string> Now;
  for (std::size_t I = 0; I < Fanout; ++I)
    Now.push_back(Peers[Next++ % Peers.size()]);
  return Now;
}

std::chrono::milliseconds HeartbeatSchedule::interval(std::size_t Peers) {
  std::size_t Rounds = std::max<std::size_t>(1, (Peers + Fanout - 1) / Fanout);
  return Period * Rounds;
}

MembershipSettings HeartbeatSchedule::limits(std::size_t Entries) {
  // Two lost heartbeats do not yet make a member suspect.
  MembershipSettings Limits;
  auto Interval = interval(Entries);
  Limits.SuspectAfter = std::max(Limits.SuspectAfter, 3 * Interval);
  Limits.DeadAfter = std::max(Limits.DeadAfter, 6 * Interval);
  return Limits;
}

} // namespace rosemarylane::routing
