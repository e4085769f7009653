#ifndef ROSEMARYLANE_SERVING_STORE_OUTAGE_H
#define ROSEMARYLANE_SERVING_STORE_OUTAGE_H

#include "core/BootClock.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace rosemarylane::serving {

/// Distinguishes an outage of the store from a partition of this process.
///
/// A version takes effect some time after it is named. This countdown stops
/// during an outage that affects all processes; otherwise all targets that hold
/// an older version would become unusable at once when the outage ends. A
/// process that was merely partitioned has to assume that the countdown
/// continued. An outage is assumed only if this process's own reads failed and
/// it heard from peers in every failure domain throughout, none of which had
/// newer data. Value type without a clock of its own; not thread-safe.
class StoreOutage {
public:
  /// Shorter gaps occur between two regular reads.
  static constexpr std::chrono::milliseconds MinOutage{2500};

  void recordReadFailure(core::BootTime Now) { LastFailure = Now; }

  /// Records that this process may be partitioned, because it does not hear
  /// from most peers or from some failure domain.
  void recordIsolation(core::BootTime Now) { LastIsolation = Now; }

  /// @param UnchangedAt last time before the gap at which any process confirmed
  /// the old data.
  /// @return the earliest time from which the countdown to a newly learnt
  /// version may be counted.
  core::BootTime countdownStart(core::BootTime UnchangedAt) const {
    bool NotIsolated = !LastIsolation || *LastIsolation < UnchangedAt;
    bool Outage = LastFailure && *LastFailure - UnchangedAt >= MinOutage;
    return NotIsolated && Outage ? *LastFailure : UnchangedAt;
  }

private:
  std::optional<core::BootTime> LastFailure;
  std::optional<core::BootTime> LastIsolation;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_STORE_OUTAGE_H
