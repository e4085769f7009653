#ifndef ROSEMARYLANE_SERVING_SWITCH_SCHEDULE_H
#define ROSEMARYLANE_SERVING_SWITCH_SCHEDULE_H

#include "core/BootClock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>

namespace rosemarylane::serving {

/// When a version that has just been learnt of has to be in force here.
///
/// Load pattern: a process was cut off from the store while a version was
/// named. A process that is cut off is not held to the bound until it has been
/// back in contact for a while, so its targets need not all be given up at the
/// moment of its return.
/// @param Unchanged when the version had certainly not been named; none if that
/// is not known.
/// @param Learnt when the process learnt of the version.
inline core::BootTime versionDeadline(std::optional<core::BootTime> Unchanged,
                                      core::BootTime Learnt,
                                      std::chrono::milliseconds InForce,
                                      std::chrono::milliseconds Contact) {
  if (!Unchanged)
    return Learnt;
  core::BootTime Deadline = *Unchanged + InForce;
  bool WasCutOff = Learnt - *Unchanged > Contact;
  return WasCutOff ? std::max(Deadline, Learnt + Contact) : Deadline;
}

/// When each target of a fleet switches to a version that has been named.
///
/// Load pattern: every target must hold the new version within seconds, takes
/// no work while it lets its requests end and loads, and all of them are needed
/// to serve. The switches are spread in rank order over the time that is left
/// after the weights have spread. A pure value type.
class SwitchSchedule {
public:
  /// Parts of the time until the version is in force: the first and the last
  /// switch.
  static constexpr double FirstPart = 0.5;
  static constexpr double LastPart = 0.91;

  /// @param NamedAt the earliest moment at which the version may have been
  /// named.
  SwitchSchedule(core::BootTime NamedAt, std::chrono::milliseconds InForce)
      : NamedAt(NamedAt), InForce(InForce) {}

  /// @param Rank the target's position among the \p Fleet targets that hold an
  /// older version.
  core::BootTime switchTime(std::size_t Rank, std::size_t Fleet) const {
    double Position = Fleet > 1
                          ? static_cast<double>(std::min(Rank, Fleet - 1)) /
                                static_cast<double>(Fleet - 1)
                          : 0;
    double Part = FirstPart + (LastPart - FirstPart) * Position;
    return NamedAt + std::chrono::duration_cast<std::chrono::milliseconds>(
                         InForce * Part);
  }

private:
  core::BootTime NamedAt;
  std::chrono::milliseconds InForce;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_SWITCH_SCHEDULE_H
