#ifndef ROSEMARYLANE_SWARM_ORIGIN_BUDGET_H
#define ROSEMARYLANE_SWARM_ORIGIN_BUDGET_H

#include "core/Time.h"

#include <algorithm>
#include <cstddef>

namespace rosemarylane::swarm {

/// Limits how many chunks of a version one host reads from the origin, so that
/// the total of the version's fleet stays bounded even when hosts see different
/// members.
///
/// The fleet's reader of a chunk reads without limit while it sees at least
/// half of the replicas in the catalogue: the reads of all readers then add up
/// to about one copy. All other reads are taken from an allowance. The
/// allowances of all hosts together grow by at most one copy in the time that
/// one copy takes over one host's link.
///
/// Usage: call `setFleet` whenever the members change and `tryAcquire` before
/// each read. One budget per version and host. Not thread-safe.
class OriginBudget {
public:
  /// @param Chunks the number of distinct chunks of the version.
  /// @param Members the number of replicas that this host sees.
  /// @param Replicas the number of replicas in the catalogue.
  /// @param IngressHosts the number of hosts that may read from the origin.
  /// @param CopyTime the transfer time of one copy over a host's link.
  void setFleet(std::size_t Chunks, std::size_t Members, std::size_t Replicas,
                std::size_t IngressHosts, std::chrono::nanoseconds CopyTime) {
    SeesMostReplicas = 2 * Members >= Replicas;
    // Hosts that see only each other divide the rate among themselves. With
    // this factor, the rates of several such groups add up to that of a whole
    // fleet.
    double VisibleFraction = static_cast<double>(Members) /
                             static_cast<double>(std::max(Members, Replicas));
    ChunksPerNanosecond = static_cast<double>(Chunks) * VisibleFraction /
                          static_cast<double>(IngressHosts) /
                          static_cast<double>(CopyTime.count());
  }

  /// Takes one chunk from the budget if it allows the read.
  /// @param IsFleetReader whether the host is the fleet's reader of the chunk.
  /// @return whether the chunk may be read from the origin now.
  bool tryAcquire(bool IsFleetReader, core::TimePoint Now) {
    if (IsFleetReader && SeesMostReplicas)
      return true;
    if (Updated != core::TimePoint())
      Allowance = std::min(
          Burst, Allowance + ChunksPerNanosecond *
                                 static_cast<double>((Now - Updated).count()));
    Updated = Now;
    if (Allowance < 1)
      return false;
    Allowance -= 1;
    return true;
  }

private:
  /// Maximum allowance, in chunks.
  static constexpr double Burst = 2;

  bool SeesMostReplicas = false;
  double ChunksPerNanosecond = 0;
  /// Number of chunks that may be read now.
  double Allowance = Burst;
  core::TimePoint Updated{};
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_ORIGIN_BUDGET_H
