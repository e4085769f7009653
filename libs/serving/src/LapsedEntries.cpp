#include "serving/LapsedEntries.h"

namespace rosemarylane::serving {

void LapsedEntries::retainMissing(const StoreSection::Items &Before,
                                  const StoreSection::Items &Registered,
                                  core::BootTime Now) {
  for (const auto &[Key, Item] : Before)
    if (!Registered.contains(Key))
      Retained.try_emplace(Key, Entry{Item, Now + ReregistrationTime});
}

bool LapsedEntries::expire(const StoreSection::Items &Registered,
                           core::BootTime Now) {
  std::size_t Dropped = std::erase_if(Retained, [&](const auto &Known) {
    return Now >= Known.second.Until || Registered.contains(Known.first);
  });
  return Dropped > 0;
}

StoreSection::Items
LapsedEntries::joinedWith(const StoreSection::Items &Registered) const {
  StoreSection::Items Joined = Registered;
  for (const auto &[Key, Known] : Retained)
    Joined.emplace(Key, Known.Item);
  return Joined;
}

} // namespace rosemarylane::serving
