#ifndef ROSEMARYLANE_SERVING_READ_SCHEDULE_H
#define ROSEMARYLANE_SERVING_READ_SCHEDULE_H

#include "core/BootClock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>

namespace rosemarylane::serving {

/// Decides when a process reads one section of the store itself.
///
/// Each read costs the store, yet processes should learn of changes within 2 s.
/// The first process in the failure domain's `PeerTable::storeReaderOrder`
/// reads periodically. Each later one reads only when its data has become
/// staler than its rank allows, so that it takes over without coordination if
/// those before it fail. A large section takes time on a narrow link, and each
/// further copy would slow down the others until none of them is completed;
/// `peerReading` therefore holds off the takeover of such a section. Value type
/// without a clock of its own; not thread-safe.
class ReadSchedule {
public:
  static constexpr std::chrono::milliseconds ReadPeriod{900};
  /// Staleness at which the process of rank 1 reads the store itself, and what
  /// each further rank adds to it.
  static constexpr std::chrono::milliseconds TakeoverStaleness{1200};
  static constexpr std::chrono::milliseconds TakeoverDelayPerRank{150};
  /// Upper limit of the staleness at which a process takes over, whatever its
  /// rank. Processes of rank 7 and above take over only at a staleness of more
  /// than 2 s; until then they depend on peers to learn of changes.
  static constexpr std::chrono::milliseconds MaxTakeoverStaleness{2200};
  /// Delay after a failed read.
  static constexpr std::chrono::milliseconds FailureBackoff{500};
  /// Interval at which a process whose last read failed tries again, even while
  /// others read.
  static constexpr std::chrono::milliseconds RetryPeriod{3000};
  /// How long a peer's message that it is reading holds off a takeover: two
  /// times `PeerQuerySchedule::Period`, as queries are answered by such
  /// messages.
  static constexpr std::chrono::milliseconds PeerReadTtl{700};
  /// Staleness up to which a peer that is reading holds off the takeover of the
  /// process of rank 1, and the upper limit for all ranks.
  static constexpr std::chrono::milliseconds DeferredStaleness{3200};
  static constexpr std::chrono::milliseconds MaxDeferredStaleness{4200};

  void readStarted(core::BootTime Now) { LastRead = Now; }
  void readFinished(bool Succeeded) { LastFailed = !Succeeded; }
  /// Records that a peer of this failure domain says that it is reading, or
  /// that this process is receiving a copy from a peer.
  void peerReading(core::BootTime Now) { PeerReadingAt = Now; }

  /// @param Staleness staleness of the section; absent if it has never been
  /// read.
  bool readDue(std::size_t Rank,
               std::optional<std::chrono::milliseconds> Staleness,
               core::BootTime Now) const {
    bool Paused = LastRead &&
                  Now - *LastRead < (LastFailed ? FailureBackoff : ReadPeriod);
    if (Paused)
      return false;
    if (Rank == 0 || !Staleness)
      return true;
    bool PeerReading = PeerReadingAt && Now - *PeerReadingAt < PeerReadTtl;
    if (!PeerReading && LastFailed && Now - *LastRead >= RetryPeriod)
      return true;
    auto RankDelay = TakeoverDelayPerRank * static_cast<int>(Rank - 1);
    auto Threshold =
        PeerReading
            ? std::min(DeferredStaleness + RankDelay, MaxDeferredStaleness)
            : std::min(TakeoverStaleness + RankDelay, MaxTakeoverStaleness);
    return *Staleness >= Threshold;
  }

private:
  std::optional<core::BootTime> LastRead;
  std::optional<core::BootTime> PeerReadingAt;
  bool LastFailed = false;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_READ_SCHEDULE_H
