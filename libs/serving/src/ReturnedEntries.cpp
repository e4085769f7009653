#include "serving/ReturnedEntries.h"

#include <algorithm>

namespace rosemarylane::serving {

/// @return whether \p Value is of a later incarnation than \p Than, or of
/// another one if their order is unknown.
bool ReturnedEntries::isLater(const std::string &Key, const std::string &Value,
                              const std::string &Than) const {
  if (Value == Than)
    return false;
  auto Place = Incarnation ? Incarnation(Key, Value) : std::nullopt;
  auto Other = Incarnation ? Incarnation(Key, Than) : std::nullopt;
  if (!Place || !Other)
    return true;
  return *Place > *Other;
}

/// @return whether \p Value is known to be of an earlier incarnation than
/// \p Than.
bool ReturnedEntries::isEarlier(const std::string &Key,
                                const std::string &Value,
                                const std::string &Than) const {
  if (Value == Than || !Incarnation)
    return false;
  auto Place = Incarnation(Key, Value);
  auto Other = Incarnation(Key, Than);
  return Place && Other && *Place < *Other;
}

void ReturnedEntries::remember(const std::string &Key, const std::string &Value,
                               core::BootTime Now) {
  Remembered[Key] = {Value, Now};
  if (Remembered.size() > MaxRemembered)
    Remembered.erase(std::min_element(Remembered.begin(), Remembered.end(),
                                      [](const auto &A, const auto &B) {
                                        return A.second.At < B.second.At;
                                      }));
}

void ReturnedEntries::forgetOld(core::BootTime Now) {
  std::erase_if(Remembered, [&](const auto &Entry) {
    return Now - Entry.second.At >= Memory;
  });
}

void ReturnedEntries::recordChange(const StoreSection::Items &Before,
                                   const StoreSection::Items &Shown,
                                   core::BootTime Now) {
  forgetOld(Now);
  // What is registered again is no vanished entry any more.
  std::erase_if(Remembered, [&](const auto &Entry) {
    auto Found = Shown.find(Entry.first);
    return Found != Shown.end() && !HeldBack.contains(Entry.first) &&
           !isLater(Entry.first, Entry.second.Value, Found->second.Value) &&
           !isLater(Entry.first, Found->second.Value, Entry.second.Value);
  });
  for (const auto &[Key, Item] : Before) {
    auto Found = Shown.find(Key);
    bool Vanished =
        Found == Shown.end() || isLater(Key, Found->second.Value, Item.Value);
    if (Vanished)
      remember(Key, Item.Value, Now);
  }
}

void ReturnedEntries::storeRestored(const StoreSection::Items &Before,
                                    const StoreSection::Items &Shown,
                                    core::BootTime Now) {
  forgetOld(Now);
  for (const auto &[Key, Item] : Shown) {
    auto Acted = Before.find(Key);
    if (Acted != Before.end()) {
      if (isEarlier(Key, Item.Value, Acted->second.Value))
        HeldBack[Key] = Item.Value;
      continue;
    }
    auto Known = Remembered.find(Key);
    if (Known != Remembered.end() &&
        !isLater(Key, Item.Value, Known->second.Value))
      HeldBack[Key] = Item.Value;
  }
  for (const auto &[Key, Item] : Before)
    if (!Shown.contains(Key))
      remember(Key, Item.Value, Now);
}

bool ReturnedEntries::expire(const StoreSection::Items &Shown, StorePosition At,
                             core::BootTime ConfirmedAt,
                             const EraSightings &Sightings) {
  auto FirstSeen = Sightings.firstSeen(At.Era);
  bool TimeIsOver = FirstSeen && ConfirmedAt >= *FirstSeen + ConfirmationTime;
  std::size_t Released = std::erase_if(HeldBack, [&](const auto &Entry) {
    auto Found = Shown.find(Entry.first);
    return TimeIsOver || Found == Shown.end() ||
           isLater(Entry.first, Found->second.Value, Entry.second);
  });
  return Released > 0;
}

StoreSection::Items ReturnedEntries::usable(StoreSection::Items Shown) const {
  for (const auto &[Key, Value] : HeldBack)
    Shown.erase(Key);
  return Shown;
}

} // namespace rosemarylane::serving
