#ifndef ROSEMARYLANE_SERVING_RETAINED_RECORDS_H
#define ROSEMARYLANE_SERVING_RETAINED_RECORDS_H

#include "core/BootClock.h"
#include "serving/EraSightings.h"
#include "serving/RecordOrder.h"
#include "serving/StorePosition.h"
#include "serving/StoreSection.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace rosemarylane::serving {

/// The operators' records that a process goes on acting on although a restored
/// store does not show them.
///
/// The copy from which the store came back lacks what the operators wrote last.
/// They write it again; until then a process that knows more stays with it:
/// - with a record that has an order of its own, until the store shows one that
///   is at least as new. A running process never goes back.
/// - with a record without one, such as an evacuation, until a read that was
///   sent after `EraSightings::RewriteTime` still does not show it.
///
/// What is retained is an assumption of one process and never leaves it. Value
/// type without a clock of its own; not thread-safe.
class RetainedRecords {
public:
  explicit RetainedRecords(RecordOrder Order) : Order(std::move(Order)) {}

  /// To be called when the era of the store has risen. Replaces what was
  /// retained before.
  /// @param Before the records that this process acted on.
  /// @param Shown the records that the section holds now.
  void storeRestored(const StoreSection::Items &Before,
                     const StoreSection::Items &Shown);

  /// To be called when the section has changed. Drops what \p Shown replaces.
  void update(const StoreSection::Items &Shown);

  /// Drops records without an order whose time is over.
  /// @param At position of the section.
  /// @param ConfirmedAt when the section was last confirmed.
  /// @return whether any was dropped.
  bool expire(StorePosition At, core::BootTime ConfirmedAt,
              const EraSightings &Sightings);

  /// Puts the retained records in the place of those of \p Shown.
  void applyTo(StoreSection::Items &Shown) const;

  std::size_t size() const { return Retained.size(); }

private:
  struct Record {
    StoredItem Item;
    std::optional<std::uint64_t> Place;
  };

  bool isReplaced(const std::string &Key, const Record &Known,
                  const StoreSection::Items &Shown) const;
  std::optional<std::uint64_t> placeOf(const std::string &Key,
                                       const StoredItem &Item) const;

  RecordOrder Order;
  std::map<std::string, Record> Retained;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_RETAINED_RECORDS_H
