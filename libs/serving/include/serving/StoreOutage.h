#ifndef ROSEMARYLANE_SERVING_STORE_OUTAGE_H
#define ROSEMARYLANE_SERVING_STORE_OUTAGE_H

#include "core/BootClock.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace rosemarylane::serving {

/// Distinguishes an outage of the store from a partition of this process.
///
/// Operators name a version of a model's weights by writing it to the store. It
/// takes effect after an activation delay (see `VersionDeadlines`). The
/// countdown from the naming to that moment does not run during an outage that
/// affects all processes; otherwise all targets that hold an older version
/// would become unusable at once when the outage ends. A process that was
/// merely partitioned has to assume that the countdown continued. An outage is
/// assumed only if this process's own reads failed and it heard from peers in
/// every failure domain throughout, none of which had newer data. Value type
/// without a clock of its own; not thread-safe.
class StoreOutage {
public:
  /// Minimum time from the last confirmation of the data to the last failed
  /// read for which an outage is assumed. Shorter gaps also occur between two
  /// regular reads.
  static constexpr std::chrono::milliseconds MinOutage{2500};

  /// Records that a read of the store failed.
  /// @param Now when the read was started.
  void recordReadFailure(core::BootTime Now) { LastFailure = Now; }

  /// Records that this process may be partitioned, because it does not hear
  /// from most peers or from some failure domain.
  void recordPossiblePartition(core::BootTime Now) {
    LastPossiblePartition = Now;
  }

  /// Called when a read or a peer shows changed data.
  /// @param UnchangedAt latest time at which the data that this process held
  /// before the change was confirmed, by a read of its own or of a peer.
  /// @return the time from which the activation delay of a version that the
  /// change has named is counted: the last failed read if an outage is assumed
  /// since \p UnchangedAt, otherwise \p UnchangedAt.
  core::BootTime countdownStart(core::BootTime UnchangedAt) const {
    bool NotPartitioned =
        !LastPossiblePartition || *LastPossiblePartition < UnchangedAt;
    bool Outage = LastFailure && *LastFailure - UnchangedAt >= MinOutage;
    return NotPartitioned && Outage ? *LastFailure : UnchangedAt;
  }

private:
  std::optional<core::BootTime> LastFailure;
  std::optional<core::BootTime> LastPossiblePartition;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_STORE_OUTAGE_H
