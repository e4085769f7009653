#ifndef ROSEMARYLANE_SWARM_ORIGIN_BUDGET_H
#define ROSEMARYLANE_SWARM_ORIGIN_BUDGET_H

#include "core/Time.h"

#include <algorithm>
#include <cstddef>

namespace rosemarylane::swarm {

/// Limits how much of a version one host draws from the origin, so that the
/// fleet's total holds even when hosts see different members.
///
/// The fleet's reader of a chunk reads freely while it sees most of the
/// replicas that the catalogue asks for: then the readers' parts add up to
/// about one copy. All other reads come out of an allowance that grows so
/// slowly that all hosts together draw one copy in the time that a copy takes.
class OriginBudget {
public:
  void setFleet(std::size_t Chunks, std::size_t Members, std::size_t Replicas,
                std::size_t IngressHosts, std::chrono::nanoseconds CopyTime) {
    SeesMostReplicas = 2 * Members >= Replicas;
    double Fraction = static_cast<double>(Members) /
                      static_cast<double>(std::max(Members, Replicas));
    PerNanosecond = static_cast<double>(Chunks) * Fraction /
                    static_cast<double>(IngressHosts) /
                    static_cast<double>(CopyTime.count());
  }

  /// @param First whether the host is the fleet's reader of the chunk.
  /// @return whether the chunk may be read from the origin now.
  bool tryAcquire(bool IsFleetReader, core::TimePoint Now) {
    if (IsFleetReader && SeesMostReplicas)
      return true;
    if (Updated != core::TimePoint())
      Allowance = std::min(
          Burst, Allowance + PerNanosecond *
                                 static_cast<double>((Now - Updated).count()));
    Updated = Now;
    if (Allowance < 1)
      return false;
    Allowance -= 1;
    return true;
  }

private:
  /// Chunks that may be read at once.
  static constexpr double Burst = 2;

  bool SeesMostReplicas = false;
  double PerNanosecond = 0;
  double Allowance = Burst;
  core::TimePoint Updated{};
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_ORIGIN_BUDGET_H
