#ifndef ROSEMARYLANE_SERVING_STORE_OUTAGE_H
#define ROSEMARYLANE_SERVING_STORE_OUTAGE_H

#include "core/BootClock.h"

#include <chrono>
#include <optional>
#include <set>

namespace rosemarylane::serving {

/// Distinguishes an outage of the store from a partition of this process, for
/// one section of the store.
///
/// From inside, both look alike: nothing confirms the section for a while, and
/// then it has changed. What follows differs:
/// - Operators name a version of a model's weights by writing it to the store.
///   It takes effect after an activation delay (see `VersionDeadlines`). The
///   countdown does not run during an outage that affects all processes;
///   otherwise all targets that hold an older version would become unusable at
///   once when the outage ends. A process that was merely partitioned has to
///   assume that the countdown continued.
/// - Leases expire during an outage, so an entry that is missing afterwards may
///   belong to a target that still serves (see `LapsedEntries`). For a process
///   that was merely partitioned, the target is gone.
///
/// An outage is assumed only if reads failed, this process heard from peers in
/// every failure domain throughout, and none of them knows of an answer of the
/// store in that time. A peer's copy that was confirmed meanwhile disproves the
/// outage even if this process could not fetch it. What is assumed stays in
/// this process. Value type without a clock of its own; not thread-safe.
class StoreOutage {
public:
  /// Minimum time from the last confirmation of the section to the last failed
  /// read for which the countdown to a version is assumed to have stopped.
  /// Shorter gaps also occur between two regular reads.
  static constexpr std::chrono::milliseconds MinOutage{2500};
  /// Shortest outage in which a lease may expire: three heartbeats of a target,
  /// less the one that may have been due when the outage began.
  static constexpr std::chrono::milliseconds MinLapse{2000};
  /// How long after the last confirmation reads must still have failed for
  /// leases to count as expired; a process that was suspended has no failures
  /// to show for the time of its suspension.
  static constexpr std::chrono::milliseconds MinFailing{1000};
  /// What is older is forgotten.
  static constexpr std::chrono::seconds Memory{60};

  /// Records that a read of the store failed.
  /// @param Now when the read was started.
  void recordReadFailure(core::BootTime Now);

  /// Records that a peer says that it cannot read the store. Counts for
  /// `mayHaveLapsed` only: it tells that reads fail, but not when they did.
  void recordPeerFailure(core::BootTime Now);

  /// Records that this process may be partitioned, because it does not hear
  /// from most peers or from some failure domain.
  void recordPossiblePartition(core::BootTime Now) {
    LastPossiblePartition = Now;
  }

  /// Records that the store answered a peer whose copy is newer than that of
  /// this process.
  /// @param ConfirmedAt when the peer's copy was confirmed.
  void recordPeerAnswer(core::BootTime ConfirmedAt);

  /// Called when a read or a peer shows changed data.
  /// @param UnchangedAt latest time at which the data that this process held
  /// before the change was confirmed, by a read of its own or of a peer.
  /// @return the time from which the activation delay of a version that the
  /// change has named is counted: the last failed read before anybody's next
  /// answer if an outage is assumed since \p UnchangedAt, otherwise
  /// \p UnchangedAt.
  core::BootTime countdownStart(core::BootTime UnchangedAt) const;

  /// @param UnchangedAt as for `countdownStart`.
  /// @param ChangedReadAt when the read that shows the change was sent; the
  /// time that its answer took is no outage.
  /// @return whether leases may have expired in between because of an outage.
  bool mayHaveLapsed(core::BootTime UnchangedAt,
                     core::BootTime ChangedReadAt) const;

private:
  using Times = std::set<core::BootTime>;

  bool notPartitionedSince(core::BootTime When) const;
  /// @return when the store answered anybody first after \p When; absent if no
  /// answer is known.
  std::optional<core::BootTime> firstAnswerAfter(core::BootTime When) const;

  Times Failures;
  Times PeerFailures;
  Times PeerAnswers;
  std::optional<core::BootTime> LastPossiblePartition;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_STORE_OUTAGE_H
