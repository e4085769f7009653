#ifndef ROSEMARYLANE_SERVING_LAPSED_ENTRIES_H
#define ROSEMARYLANE_SERVING_LAPSED_ENTRIES_H

#include "core/BootClock.h"
#include "serving/StoreSection.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace rosemarylane::serving {

/// Retains registry entries whose leases expired during an outage of the store.
///
/// While the store is down its leases expire, so the first read after its
/// return shows an empty registry although every target still serves. An entry
/// that is missing from that read is retained until its target has had time to
/// register again. An entry that disappears while the store is answering is
/// dropped at once. Has no clock of its own; not thread-safe.
class LapsedEntries {
public:
  /// If the known items were last confirmed longer than this before a read, the
  /// store is assumed to have been down in between. `StoreOutage`
  /// applies a longer limit and more conditions; it decides on deadlines of
  /// versions, not on registry entries.
  static constexpr std::chrono::milliseconds OutageThreshold{1500};
  /// Time within which a running target registers again.
  static constexpr std::chrono::milliseconds ReregistrationTime{2200};

  /// @param ReadItems items that the store holds now.
  /// @param KnownItems items that were known before the read.
  /// @param Staleness time since \p KnownItems were last confirmed; absent if
  /// they never were, which counts as no outage.
  /// @return \p ReadItems and the retained entries.
  StoreSection::Items apply(StoreSection::Items ReadItems,
                            const StoreSection::Items &KnownItems,
                            std::optional<std::chrono::milliseconds> Staleness,
                            core::BootTime Now) {
    if (Staleness && *Staleness > OutageThreshold)
      for (const auto &[Key, Item] : KnownItems)
        if (!ReadItems.contains(Key))
          RetainedUntil.try_emplace(Key, Now + ReregistrationTime);
    std::erase_if(RetainedUntil, [&](const auto &Retained) {
      return Now >= Retained.second || ReadItems.contains(Retained.first);
    });
    for (const auto &[Key, Until] : RetainedUntil)
      if (auto Known = KnownItems.find(Key); Known != KnownItems.end())
        ReadItems.insert(*Known);
    return ReadItems;
  }

private:
  std::map<std::string, core::BootTime> RetainedUntil;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_LAPSED_ENTRIES_H
