#include "swarm/SwarmPlanner.h"

namespace rosemarylane::swarm {

PlannerSettings
PlannerSettings::forShortCopies(std::chrono::nanoseconds CopyTime) {
  using std::chrono::milliseconds;
  PlannerSettings Result;
  Result.MaxPulls = 6;
  // Readers hold the requests until they have the chunk, so most of these wait
  // and use nothing of the link.
  Result.MaxRemoteReads = 24;
  // The origin accepts few connections from the whole fleet.
  Result.MaxOriginReads = 1;
  Result.RequestTimeout = milliseconds(1500);
  Result.RemoteTimeout = milliseconds(1500);
  Result.StallTimeout = milliseconds(700);
  Result.BusyDelay = milliseconds(40);
  Result.PollDelay = milliseconds(60);
  Result.DiscoveryTime = milliseconds(30);
  Result.SettleTime = milliseconds(30);
  Result.CopyTime = CopyTime;
  return Result;
}

} // namespace rosemarylane::swarm
