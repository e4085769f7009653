#ifndef ROSEMARYLANE_SERVING_EXPIRED_ENTRY_GRACE_H
#define ROSEMARYLANE_SERVING_EXPIRED_ENTRY_GRACE_H

#include "core/BootClock.h"
#include "serving/StoreImage.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace rosemarylane::serving {

/// Keeps registered targets whose entries lapsed while the store was away.
///
/// Load pattern: the store is down, its leases run out, and the first read
/// after its return shows an empty registry although every target serves. An
/// entry missing after such a gap is kept until its target has had time to
/// register again; an entry that goes while the store answers is gone at once.
/// Pure; not thread-safe.
class ExpiredEntryGrace {
public:
  /// A proof older than this means that the store was away.
  static constexpr std::chrono::milliseconds OutageThreshold{1500};
  /// Time that a living target needs to register again.
  static constexpr std::chrono::milliseconds ReregistrationTime{2200};

  /// @param Read what the store holds now.
  /// @param Held what was known before.
  /// @param Staleness age of the newest proof of \p KnownItems.
  /// @return what is to be believed now.
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

#endif // ROSEMARYLANE_SERVING_EXPIRED_ENTRY_GRACE_H
