#include "routing/HeartbeatSchedule.h"

#include <algorithm>

namespace rosemarylane::routing {

std::vector<std::string>
HeartbeatSchedule::next(const std::vector<std::string> &Peers) {
  if (Peers.size() <= Fanout)
    return Peers;
  std::vector<std::string> Selected;
  for (std::size_t I = 0; I < Fanout; ++I)
    Selected.push_back(Peers[Next++ % Peers.size()]);
  return Selected;
}

std::chrono::milliseconds HeartbeatSchedule::interval(std::size_t Peers) {
  std::size_t Rounds = std::max<std::size_t>(1, (Peers + Fanout - 1) / Fanout);
  return Period * Rounds;
}

MembershipSettings
HeartbeatSchedule::membershipSettings(std::size_t EntryProcesses) {
  MembershipSettings Limits;
  auto Interval = interval(EntryProcesses);
  // A member is suspect after 3 intervals of silence, so two lost heartbeats in
  // a row do not make it so, and dead after 6, unless the defaults are longer.
  Limits.SuspectAfter = std::max(Limits.SuspectAfter, 3 * Interval);
  Limits.DeadAfter = std::max(Limits.DeadAfter, 6 * Interval);
  return Limits;
}

} // namespace rosemarylane::routing
