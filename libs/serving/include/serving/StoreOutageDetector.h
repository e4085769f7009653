#ifndef ROSEMARYLANE_SERVING_STORE_OUTAGE_DETECTOR_H
#define ROSEMARYLANE_SERVING_STORE_OUTAGE_DETECTOR_H

#include "core/BootClock.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace rosemarylane::serving {

/// Tells an outage of the store from a process that is cut off.
///
/// Load pattern: versions are named while the store is away for everybody. The
/// time until a version is in force does not run during such an outage, so the
/// targets need not all be given up at its end; a process that was merely cut
/// off has to assume that it ran. An outage is believed only if this process's
/// own reads failed and it heard peers of every failure domain all the while,
/// none of which knew more. A value type.
class StoreOutageDetector {
public:
  /// Shorter gaps are usual between two reads.
  static constexpr std::chrono::milliseconds MinOutage{2500};

  void recordReadFailure(core::BootTime Now) { LastFailure = Now; }

  /// Some failure domain has no peer that was heard lately.
  void recordIsolation(core::BootTime Now) { LastIsolation = Now; }

  /// @param Unchanged the newest proof of the time before the gap, which
  /// nobody knew better.
  /// @return the moment from which the time until a newly learnt version is in
  /// force runs at the earliest.
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

#endif // ROSEMARYLANE_SERVING_STORE_OUTAGE_DETECTOR_H
