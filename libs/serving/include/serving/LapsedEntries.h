#ifndef ROSEMARYLANE_SERVING_LAPSED_ENTRIES_H
#define ROSEMARYLANE_SERVING_LAPSED_ENTRIES_H

#include "core/BootClock.h"
#include "serving/StoreSection.h"

#include <chrono>
#include <map>
#include <string>

namespace rosemarylane::serving {

/// Registry entries that the store does not show, but whose leases may have
/// expired only because the store was down, or that a restored store lacks.
///
/// While the store is down its leases expire, so the first read after its
/// return shows an empty registry although every target still serves. A process
/// that knew the entries retains them until their targets have had time to
/// register again. `StoreOutage::mayHaveLapsed` decides whether that is
/// assumed. A restored store (see `StorePosition`) lacks the entries that were
/// written after the copy was made; they are retained in the same way.
///
/// What is retained is an assumption of one process. It is kept apart from the
/// `StoreSection`, which peers copy, and never leaves the process. Has no clock
/// of its own; not thread-safe.
class LapsedEntries {
public:
  /// Time within which a running target registers again.
  static constexpr std::chrono::milliseconds ReregistrationTime{2200};
  /// A read is near the end of `ReregistrationTime` if at most the period of
  /// regular reads lies between.
  static constexpr std::chrono::milliseconds LastReadMargin{900};

  /// Retains the entries of \p Before that are missing from \p Registered.
  /// @param Before entries of the registry section before it changed.
  /// @param Registered entries that the section holds now.
  /// @param ReadAt when the read that shows them missing was sent.
  void retainMissing(const StoreSection::Items &Before,
                     const StoreSection::Items &Registered,
                     core::BootTime ReadAt);

  /// Retains the entries of \p Before that are missing from \p Registered since
  /// the store was restored, also those that were retained already.
  /// @param EraSeenAt when the new era was first seen.
  void retainThroughRestore(const StoreSection::Items &Before,
                            const StoreSection::Items &Registered,
                            core::BootTime EraSeenAt);

  /// Drops entries that are registered again, or whose time is over and that
  /// are still missing from a read near its end. If the store is down again by
  /// then, their targets have not had that time.
  /// @param ConfirmedAt when \p Registered was last confirmed.
  /// @return whether any was dropped.
  bool expire(const StoreSection::Items &Registered, core::BootTime ConfirmedAt,
              core::BootTime Now);

  /// @return \p Registered and the retained entries.
  StoreSection::Items joinedWith(const StoreSection::Items &Registered) const;

  bool empty() const { return Retained.empty(); }
  std::size_t size() const { return Retained.size(); }

private:
  struct Entry {
    StoredItem Item;
    core::BootTime Until;
  };

  std::map<std::string, Entry> Retained;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_LAPSED_ENTRIES_H
