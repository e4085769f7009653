#ifndef ROSEMARYLANE_EMULATOR_ROLLOUT_MODEL_H
#define ROSEMARYLANE_EMULATOR_ROLLOUT_MODEL_H

#include "swarm/SwarmPlanner.h"
#include "swarm/UploadQueue.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylane::emulator {

using swarm::PlannerSettings;

/// Parameters of a simulated fleet. The unit of time is the transfer time of
/// one copy over a host's link.
///
/// Hosts fetch one version or several in a row, as `serving::VersionPlan`
/// decides, by the planner and the upload queue of the product.
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
  /// Transfer time of one copy over a host's link.
  std::chrono::nanoseconds CopyTime = std::chrono::seconds(10);
  /// Minimum interval between two announcements of a host's holdings.
  std::chrono::nanoseconds HoldingsInterval = std::chrono::milliseconds(100);
  /// Settings of the hosts' planners; derived from the transfer time of a chunk
  /// if absent.
  std::optional<PlannerSettings> Planning;
  /// Copies of one version that a host uploads before it refuses most further
  /// requests.
  double MaxUploadCopies = swarm::UploadSettings().MaxCopies;
  /// When the versions are named, in ascending order; at least one.
  std::vector<double> VersionsNamedAt{0};
  /// Time from the naming of a version until it takes effect.
  double ActivationDelay = 1000;
  /// The origin cannot be reached for a while.
  double OriginDownAt = 0;
  double OriginDownFor = 0;
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
  /// Percentiles and maximum of the time from the naming of the newest version
  /// until a host holds it.
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
  /// Whether all hosts that did not crash hold the newest version.
  bool Complete = false;
  /// For each version, the fraction of all hosts that hold it.
  std::vector<double> HolderFractions;
};

/// Runs the simulation until all hosts hold the newest version or the time
/// limit is reached.
FleetResult simulate(const FleetSettings &Settings);

std::string toString(const FleetResult &Result);

} // namespace rosemarylane::emulator

#endif // ROSEMARYLANE_EMULATOR_ROLLOUT_MODEL_H
