#ifndef ROSEMARYLANE_SERVING_SECTION_COPY_H
#define ROSEMARYLANE_SERVING_SECTION_COPY_H

#include "core/BootClock.h"
#include "serving/LapsedEntries.h"
#include "serving/StoreOutage.h"
#include "serving/StoreSection.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace rosemarylane::serving {

/// What one process knows of a section of the store, and what it assumes beyond
/// that.
///
/// Only `section` is passed on to peers: what somebody has read from the store.
/// Assumptions, such as entries that lapsed with an outage, or that an item did
/// not change during it, are part of `items` alone, on which only this process
/// acts. A peer that was connected all the
/// while is therefore never overruled by what a process that was partitioned
/// assumes. Value type without a clock of its own; not thread-safe.
class SectionCopy {
public:
  /// What an item means that the section held before and no longer shows.
  enum class Missing {
    /// It was deleted.
    Gone,
    /// It was deleted, or its lease has expired with an outage of the store.
    MayHaveLapsed,
  };

  /// A change of the section.
  struct Change {
    /// See `StoreOutage::countdownStart`; absent if there was no previous
    /// content.
    std::optional<core::BootTime> CountdownStart;
    /// When the previous content was last confirmed; absent if there was none.
    std::optional<core::BootTime> UnchangedAt;
  };

  explicit SectionCopy(Missing MeaningOfMissing)
      : MeaningOfMissing(MeaningOfMissing) {}

  /// Adopts a complete read of the store, or a peer's copy of one; see
  /// `StoreSection::adopt`.
  /// @param ConfirmedAt when the read was sent, in local time.
  /// @return the change, or nothing if the section did not change.
  std::optional<Change> adopt(StoreSection::Items Read, StorePosition At,
                              core::BootTime ConfirmedAt, core::BootTime Now);

  /// Records that the store holds the same items at \p At; see
  /// `StoreSection::confirm`.
  bool confirm(StorePosition At, core::BootTime ReadSentAt) {
    return Read.confirm(At, ReadSentAt);
  }
  bool confirm(const StoreSection::Question &Asked, StorePosition At,
               core::BootTime ReadSentAt) {
    return Read.confirm(Asked, At, ReadSentAt);
  }

  /// Compares the section with a peer's summary; see
  /// `StoreSection::compareAndConfirm`.
  StoreSection::Comparison
  compareAndConfirm(const StoreSection::Summary &PeerSummary,
                    core::BootTime QueriedAt);

  /// What tells an outage of the store from a partition of this process.
  StoreOutage &outage() { return Outage; }

  /// Drops assumptions whose time is over.
  /// @return whether `items` has changed.
  bool expire(core::BootTime Now);

  /// @return what the store is known to have held; peers may copy it.
  const StoreSection &section() const { return Read; }

  /// @return the items on which this process acts: those of `section` and
  /// those that it retains. Where an outage is assumed before a change,
  /// `ChangedAfter` is when it ended.
  StoreSection::Items items() const;

  /// @return the number of items that are retained.
  std::size_t retainedCount() const { return Lapsed.size(); }

private:
  /// An item that changed after an assumed outage.
  struct AssumedChange {
    StoredItem Item;
    core::BootTime ChangedAfter;
  };

  void assumeChangesAfter(core::BootTime OutageEnd,
                          const StoreSection::Items &Before, bool SameEra);

  Missing MeaningOfMissing;
  StoreSection Read;
  StoreOutage Outage;
  LapsedEntries Lapsed;
  std::map<std::string, AssumedChange> AssumedChanges;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_SECTION_COPY_H
