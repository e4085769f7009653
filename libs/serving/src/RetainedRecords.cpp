#include "serving/RetainedRecords.h"

namespace rosemarylane::serving {

std::optional<std::uint64_t>
RetainedRecords::placeOf(const std::string &Key, const StoredItem &Item) const {
  return Order ? Order(Key, Item.Value) : std::nullopt;
}

/// @return whether \p Shown holds a record of the key that is to be acted on
/// instead.
bool RetainedRecords::isReplaced(const std::string &Key, const Record &Known,
                                 const StoreSection::Items &Shown) const {
  auto Found = Shown.find(Key);
  if (Found == Shown.end())
    return false;
  if (!Known.Place || Found->second.Value == Known.Item.Value)
    return true;
  auto Place = placeOf(Key, Found->second);
  return Place && *Place >= *Known.Place;
}

void RetainedRecords::storeRestored(const StoreSection::Items &Before,
                                    const StoreSection::Items &Shown) {
  Retained.clear();
  for (const auto &[Key, Item] : Before) {
    auto Found = Shown.find(Key);
    bool Unchanged = Found != Shown.end() && Found->second.Value == Item.Value;
    if (Unchanged)
      continue;
    Record Known{Item, placeOf(Key, Item)};
    if (!isReplaced(Key, Known, Shown))
      Retained.emplace(Key, std::move(Known));
  }
}

void RetainedRecords::update(const StoreSection::Items &Shown) {
  std::erase_if(Retained, [&](const auto &Entry) {
    return isReplaced(Entry.first, Entry.second, Shown);
  });
}

bool RetainedRecords::expire(StorePosition At, core::BootTime ConfirmedAt,
                             const EraSightings &Sightings) {
  if (!Sightings.isRewritten(At.Era, ConfirmedAt))
    return false;
  std::size_t Dropped = std::erase_if(
      Retained, [](const auto &Entry) { return !Entry.second.Place; });
  return Dropped > 0;
}

void RetainedRecords::applyTo(StoreSection::Items &Shown) const {
  for (const auto &[Key, Known] : Retained)
    Shown[Key] = Known.Item;
}

} // namespace rosemarylane::serving
