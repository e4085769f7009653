#ifndef ROSEMARYLANE_SERVING_READ_SCHEDULE_H
#define ROSEMARYLANE_SERVING_READ_SCHEDULE_H

#include "core/BootClock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>

namespace rosemarylane::serving {

/// When a process reads the store itself, and when it asks a peer instead.
///
/// Load pattern: each call on the store costs, whoever makes it, and everybody
/// needs to know within two seconds. The first in the failure domain's duty
/// order reads regularly; each later one reads only once what it knows has
/// grown older than its rank allows, so that the next steps in without any
/// agreement when those before it fail. A pure value type.
class ReadSchedule {
public:
  static constexpr std::chrono::milliseconds ReadPeriod{900};
  /// Age of the newest proof at which the second in rank reads itself, and what
  /// each further rank waits longer.
  static constexpr std::chrono::milliseconds StepInAge{1200};
  static constexpr std::chrono::milliseconds StepInPerRank{150};
  static constexpr std::chrono::milliseconds LongestStepIn{2200};
  /// Pause after a failed read.
  static constexpr std::chrono::milliseconds FailurePause{500};
  /// A process that lost the store tries it again after this long, also while
  /// others read.
  static constexpr std::chrono::milliseconds RetryPeriod{3000};
  static constexpr std::chrono::milliseconds AskPeriod{350};

  void readStarted(core::BootTime Now) { LastRead = Now; }
  void readEnded(bool Succeeded) { LastFailed = !Succeeded; }
  void asked(core::BootTime Now) { LastAsk = Now; }

  /// @param ProofAge age of the older section's newest proof; none if one was
  /// never read.
  bool readDue(std::size_t Rank,
               std::optional<std::chrono::milliseconds> ProofAge,
               core::BootTime Now) const {
    bool Paused =
        LastRead && Now - *LastRead < (LastFailed ? FailurePause : ReadPeriod);
    if (Paused)
      return false;
    if (Rank == 0 || !ProofAge)
      return true;
    if (LastFailed && Now - *LastRead >= RetryPeriod)
      return true;
    auto Patience = std::min(
        StepInAge + StepInPerRank * static_cast<int>(Rank - 1), LongestStepIn);
    return *ProofAge >= Patience;
  }

  bool askDue(std::size_t Rank,
              std::optional<std::chrono::milliseconds> ProofAge,
              core::BootTime Now) const {
    if (LastAsk && Now - *LastAsk < AskPeriod)
      return false;
    return Rank > 0 || !ProofAge || *ProofAge >= StepInAge;
  }

private:
  std::optional<core::BootTime> LastRead;
  std::optional<core::BootTime> LastAsk;
  bool LastFailed = false;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_READ_SCHEDULE_H
