#include "serving/LapsedEntries.h"

#include <algorithm>

namespace rosemarylane::serving {

void LapsedEntries::retainMissing(const StoreSection::Items &Before,
                                  const StoreSection::Items &Registered,
                                  core::BootTime ReadAt) {
  for (const auto &[Key, Item] : Before)
    if (!Registered.contains(Key))
      Retained.try_emplace(Key, Entry{Item, ReadAt + ReregistrationTime});
}

void LapsedEntries::retainThroughRestore(const StoreSection::Items &Before,
                                         const StoreSection::Items &Registered,
                                         core::BootTime EraSeenAt) {
  core::BootTime Until = EraSeenAt + ReregistrationTime;
  for (const auto &[Key, Item] : Before) {
    if (Registered.contains(Key))
      continue;
    auto [Known, New] = Retained.try_emplace(Key, Entry{Item, Until});
    Known->second.Until = std::max(Known->second.Until, Until);
  }
}

bool LapsedEntries::expire(const StoreSection::Items &Registered,
                           core::BootTime ConfirmedAt, core::BootTime Now) {
  std::size_t Dropped = std::erase_if(Retained, [&](const auto &Known) {
    core::BootTime Until = Known.second.Until;
    bool StillMissing = Now >= Until && ConfirmedAt >= Until - LastReadMargin;
    return StillMissing || Registered.contains(Known.first);
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
