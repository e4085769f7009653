#ifndef ROSEMARYLANE_SERVING_LAPSED_ENTRIES_H
#define ROSEMARYLANE_SERVING_LAPSED_ENTRIES_H

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
class LapsedEntries {
public:
  /// A proof older than this means that the store was away.
  static constexpr std::chrono::milliseconds Gap{1500};
  /// Time that a living target needs to register again.
  static constexpr std::chrono::milliseconds Return{2200};

  /// @param Read what the store holds now.
  /// @param Held what was known before.
  /// @param ProofAge age of the newest proof of \p Held.
  /// @return what is to be believed now.
  StoreSection::Items apply(StoreSection::Items Read,
                            const StoreSection::Items &Held,
                            std::optional<std::chrono::milliseconds> ProofAge,
                            core::BootTime Now) {
    if (ProofAge && *ProofAge > Gap)
      for (const auto &[Key, Item] : Held)
        if (!Read.contains(Key))
          KeptUntil.try_emplace(Key, Now + Return);
    std::erase_if(KeptUntil, [&](const auto &Kept) {
      return Now >= Kept.second || Read.contains(Kept.first);
    });
    for (const auto &[Key, Until] : KeptUntil)
      if (auto Known = Held.find(Key); Known != Held.end())
        Read.insert(*Known);
    return Read;
  }

private:
  std::map<std::string, core::BootTime> KeptUntil;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_LAPSED_ENTRIES_H
