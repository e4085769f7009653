#ifndef ROSEMARYLANE_SWARM_TESTS_FLEET_SIMULATION_H
#define ROSEMARYLANE_SWARM_TESTS_FLEET_SIMULATION_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylane::swarm::testing {

/// A fleet whose links are fluid pipes in discrete time. One copy over a host's
/// link takes one unit of time.
struct FleetSettings {
  enum class Planner {
    Swarm,
    /// Every host reads every chunk from the origin.
    OriginOnly,
    /// Each chunk goes down a fixed binary tree over all hosts.
    FixedTree,
  };

  Planner PlannerKind = Planner::Swarm;
  std::size_t Hosts = 20;
  std::size_t FailureDomains = 3;
  std::size_t Regions = 3;
  std::size_t Chunks = 512;
  /// Rates in copies per unit of time.
  double OriginRate = 2;
  double RegionRate = 1.5;
  std::uint64_t Seed = 1;
  /// The part of the hosts that die, spread over the first unit of time.
  double CrashingFraction = 0;
  /// Each host sees only its own failure domain.
  bool Partitioned = false;
  /// The part of the hosts that answer no request, yet stay in the members.
  double SilentFraction = 0;
  /// Give up after this many units.
  double TimeLimit = 1000;
};

/// What a run measured, in copies and units of one copy over a host's link.
struct FleetResult {
  double P50 = 0;
  double P95 = 0;
  double Max = 0;
  double OriginCopies = 0;
  double LargestUpload = 0;
  /// The most that came into one region from other regions.
  double RegionCopies = 0;
  double DuplicateFraction = 0;
  bool Complete = false;
};

FleetResult simulate(const FleetSettings &Settings);

std::string toString(const FleetResult &Result);

} // namespace rosemarylane::swarm::testing

#endif // ROSEMARYLANE_SWARM_TESTS_FLEET_SIMULATION_H
