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
/// Each read costs the store and the link to it, yet processes should learn of
/// changes within 2 s. The first process in the failure domain's
/// `PeerTable::storeReaderOrder` reads periodically. Each later one reads only
/// when its data has become staler than its rank allows, so that it takes over
/// without coordination if those before it fail. A process that has never read
/// the section waits like one whose data is as old as itself.
///
/// Reads that fail on a full link still fill it. So the reads of a whole
/// failure domain are a few in a second, however many processes it has and
/// however many of them are stale: neither the delay of a takeover nor the
/// pause after a failure has an upper limit that ranks could reach together.
///
/// A large section takes time on a narrow link, and each further copy would
/// slow down the others until none of them is completed; `peerReading`
/// therefore holds off the takeover of such a section. Value type without a
/// clock of its own; not thread-safe.
class ReadSchedule {
public:
  static constexpr std::chrono::milliseconds ReadPeriod{900};
  /// Staleness at which the process of rank 1 reads the store itself, and what
  /// each further rank adds to it. Processes of rank 7 and above take over only
  /// at a staleness of more than 2 s; until then they depend on peers to learn
  /// of changes.
  static constexpr std::chrono::milliseconds TakeoverStaleness{1200};
  static constexpr std::chrono::milliseconds TakeoverDelayPerRank{150};
  /// Pause of the first process in order after a failed read, and what each
  /// further rank adds to it.
  static constexpr std::chrono::milliseconds FailureBackoff{500};
  /// Interval at which a process whose last read failed tries again, even while
  /// others read; longer for ranks whose pause is longer. Also that at which it
  /// asks the store something small instead.
  static constexpr std::chrono::milliseconds RetryPeriod{3000};
  /// How long a peer's message that it is reading holds off a takeover: two
  /// times `PeerQuerySchedule::Period`, as queries are answered by such
  /// messages.
  static constexpr std::chrono::milliseconds PeerReadTtl{700};
  /// Staleness up to which a peer that is reading holds off the takeover of the
  /// process of rank 1; each further rank adds its delay.
  static constexpr std::chrono::milliseconds DeferredStaleness{3200};

  /// Sets since when the process has waited for its first data. To be called
  /// before `readDue`.
  void begin(core::BootTime Now) { BeganAt = Now; }

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
    auto Ranks = static_cast<int>(Rank);
    auto FailurePause = FailureBackoff * (Ranks + 1);
    if (LastRead && Now - *LastRead < (LastFailed ? FailurePause : ReadPeriod))
      return false;
    if (Rank == 0)
      return true;
    bool PeerReading = PeerReadingAt && Now - *PeerReadingAt < PeerReadTtl;
    if (!PeerReading && LastFailed && Now - *LastRead >= RetryPeriod)
      return true;
    auto Threshold = (PeerReading ? DeferredStaleness : TakeoverStaleness) +
                     TakeoverDelayPerRank * (Ranks - 1);
    auto Waited = Staleness.value_or(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Now - BeganAt.value_or(Now)));
    return Waited >= Threshold;
  }

private:
  std::optional<core::BootTime> BeganAt;
  std::optional<core::BootTime> LastRead;
  std::optional<core::BootTime> PeerReadingAt;
  bool LastFailed = false;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_READ_SCHEDULE_H
