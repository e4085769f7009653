#ifndef ROSEMARYLANE_SERVING_SECTION_COPY_H
#define ROSEMARYLANE_SERVING_SECTION_COPY_H

#include "core/BootClock.h"
#include "serving/EraSightings.h"
#include "serving/LapsedEntries.h"
#include "serving/RecordOrder.h"
#include "serving/RetainedRecords.h"
#include "serving/ReturnedEntries.h"
#include "serving/StoreOutage.h"
#include "serving/StoreSection.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
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
/// assumes. When the store was restored from an older copy, `section` holds
/// what the store holds now, and `items` also what this process knew to be
/// newer; see `RetainedRecords`, `LapsedEntries` and `ReturnedEntries`. Value
/// type without a clock of its own; not thread-safe.
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

  /// @param Order which of two records of one key is newer; without it, no
  /// record has an order.
  /// @param Heartbeat interval at which targets write their entries.
  explicit SectionCopy(
      Missing MeaningOfMissing, RecordOrder Order = {},
      std::chrono::milliseconds Heartbeat = ReturnedEntries::DefaultHeartbeat)
      : MeaningOfMissing(MeaningOfMissing), Records(Order),
        Returned(Order, Heartbeat) {}

  /// Records that somebody had seen an era of the store by \p SeenAt, in local
  /// time. To be called before `adopt` if that is known.
  void recordEra(std::uint64_t Era, core::BootTime SeenAt) {
    Sightings.record(Era, SeenAt, Read.at().Era);
  }

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
  /// @param Now when the summary arrived.
  StoreSection::Comparison
  compareAndConfirm(const StoreSection::Summary &PeerSummary,
                    core::BootTime QueriedAt, core::BootTime Now);

  /// @return what peers compare with theirs.
  StoreSection::Summary summary(core::BootTime Now) const;

  /// What tells an outage of the store from a partition of this process.
  StoreOutage &outage() { return Outage; }

  /// Drops assumptions whose time is over. To be called regularly.
  /// @return whether `items` has changed.
  bool expire(core::BootTime Now);

  /// @return what the store is known to have held; peers may copy it.
  const StoreSection &section() const { return Read; }

  /// @return the items on which this process acts: those of `section` that it
  /// does not hold back, and those that it retains. Where an outage is assumed
  /// before a change, `ChangedAfter` is when it ended.
  StoreSection::Items items() const;

  /// @return the time since it was last proved, rounded up, that nothing was
  /// acknowledged that `items` lacks; absent before the first proof.
  ///
  /// Differs from the staleness of `section` after the store was restored: a
  /// read of a new era proves nothing until what was lost has had time to be
  /// written again, as it may lack a change that was acknowledged. Until then
  /// the proof of the era before ages on. A process that has just started
  /// can't tell a new era from an old one, unless a peer knows.
  std::optional<std::chrono::milliseconds> proofAge(core::BootTime Now) const;

  /// @return the number of items that are retained.
  std::size_t retainedCount() const { return Lapsed.size() + Records.size(); }

  /// @return the number of items of `section` that are not used.
  std::size_t heldBackCount() const { return Returned.size(); }

private:
  /// An item that changed after an assumed outage.
  struct AssumedChange {
    StoredItem Item;
    core::BootTime ChangedAfter;
  };

  std::optional<core::BootTime> provenAt() const;
  void storeRestored(const StoreSection::Items &Acted, core::BootTime Now);
  void assumeChangesAfter(core::BootTime OutageEnd,
                          const StoreSection::Items &Before, bool SameEra);

  Missing MeaningOfMissing;
  StoreSection Read;
  StoreOutage Outage;
  EraSightings Sightings;
  /// The last proof of the eras before.
  std::optional<core::BootTime> EarlierProof;
  LapsedEntries Lapsed;
  RetainedRecords Records;
  ReturnedEntries Returned;
  std::map<std::string, AssumedChange> AssumedChanges;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_SECTION_COPY_H
