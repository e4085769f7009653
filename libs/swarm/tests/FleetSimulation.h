#ifndef ROSEMARYLANE_SWARM_TESTS_FLEET_SIMULATION_H
#define ROSEMARYLANE_SWARM_TESTS_FLEET_SIMULATION_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylane::swarm::testing {

/// Parameters of a simulated fleet. The unit of time is the transfer time of
/// one copy over a host's link.
struct FleetSettings {
  enum class Planner {
    Swarm,
    /// Every host reads every chunk from the origin.
    OriginOnly,
    /// Each chunk is forwarded down a fixed binary tree over all hosts.
    FixedTree,
  };

  Planner PlannerKind = Planner::Swarm;
  std::size_t Hosts = 20;
  std::size_t FailureDomains = 3;
  std::size_t Regions = 3;
  std::size_t Chunks = 512;
  /// Rate of the origin's link, in copies per unit of time.
  double OriginRate = 2;
  /// Rate of each region's link from the other regions, in copies per unit of
  /// time.
  double RegionRate = 1.5;
  std::uint64_t Seed = 1;
  /// Fraction of the hosts that crash, spread over the first unit of time.
  double CrashingFraction = 0;
  /// Whether each host sees only its own failure domain.
  bool Partitioned = false;
  /// Fraction of the hosts that stay members but do not reply to requests.
  double SilentFraction = 0;
  /// Ends the simulation after this many units of time.
  double TimeLimit = 1000;
};

/// Results of a run. Times are in units of `FleetSettings`, amounts of data in
/// copies.
struct FleetResult {
  /// Percentiles and maximum of the time until a host holds the version.
  double P50 = 0;
  double P95 = 0;
  double Max = 0;
  /// Data that all hosts read from the origin.
  double OriginCopies = 0;
  /// Maximum over hosts of the data sent to other hosts.
  double LargestUpload = 0;
  /// Maximum over regions of the data received from other regions.
  double RegionCopies = 0;
  /// Fraction of the received chunks that the receiver held already.
  double DuplicateFraction = 0;
  /// Whether all hosts that did not crash hold the version.
  bool Complete = false;
};

/// Runs the simulation until all hosts hold the version or the time limit is
/// reached.
FleetResult simulate(const FleetSettings &Settings);

std::string toString(const FleetResult &Result);

} // namespace rosemarylane::swarm::testing

#endif // ROSEMARYLANE_SWARM_TESTS_FLEET_SIMULATION_H
