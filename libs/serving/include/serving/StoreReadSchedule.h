#ifndef ROSEMARYLANE_SERVING_STORE_READ_SCHEDULE_H
#define ROSEMARYLANE_SERVING_STORE_READ_SCHEDULE_H

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
class StoreReadSchedule {
public:
  static constexpr std::chrono::milliseconds ReadPeriod{900};
  /// Age of the newest proof at which the second in rank reads itself, and what
  /// each further rank waits longer.
  static constexpr std::chrono::milliseconds TakeoverAge{1200};
  static constexpr std::chrono::milliseconds TakeoverDelayPerRank{150};
  static constexpr std::chrono::milliseconds MaxTakeoverAge{2200};
  /// Pause after a failed read.
  static constexpr std::chrono::milliseconds FailureBackoff{500};
  /// A process that lost the store tries it again after this long, also while
  /// others read.
  static constexpr std::chrono::milliseconds RetryPeriod{3000};
  static constexpr std::chrono::milliseconds PeerQueryPeriod{350};

  void readStarted(core::BootTime Now) { LastRead = Now; }
  void readFinished(bool Succeeded) { LastFailed = !Succeeded; }
  void peerQueryStarted(core::BootTime Now) { LastPeerQuery = Now; }

  /// @param Staleness age of the older section's newest proof; none if one was
  /// never read.
  bool readDue(std::size_t Rank,
               std::optional<std::chrono::milliseconds> Staleness,
               core::BootTime Now) const {
    bool Paused = LastRead &&
                  Now - *LastRead < (LastFailed ? FailureBackoff : ReadPeriod);
    if (Paused)
      return false;
    if (Rank == 0 || !Staleness)
      return true;
    if (LastFailed && Now - *LastRead >= RetryPeriod)
      return true;
    auto TakeoverThreshold = std::min(
        TakeoverAge + TakeoverDelayPerRank * static_cast<int>(Rank - 1),
        MaxTakeoverAge);
    return *Staleness >= TakeoverThreshold;
  }

  bool peerQueryDue(std::size_t Rank,
                    std::optional<std::chrono::milliseconds> Staleness,
                    core::BootTime Now) const {
    if (LastPeerQuery && Now - *LastPeerQuery < PeerQueryPeriod)
      return false;
    return Rank > 0 || !Staleness || *Staleness >= TakeoverAge;
  }

private:
  std::optional<core::BootTime> LastRead;
  std::optional<core::BootTime> LastPeerQuery;
  bool LastFailed = false;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_STORE_READ_SCHEDULE_H
