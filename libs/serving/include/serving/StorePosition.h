#ifndef ROSEMARYLANE_SERVING_STORE_POSITION_H
#define ROSEMARYLANE_SERVING_STORE_POSITION_H

#include <compare>
#include <cstdint>

namespace rosemarylane::serving {

/// A point in the history of the platform's store.
///
/// Each time the store is restored from an older copy a new era begins:
/// revisions go back, and are given out again for other writes. So revisions
/// compare only within an era, and a later era is newer whatever its revisions
/// are. Value type.
struct StorePosition {
  /// 0 if the store, or the peer that passes the position on, does not tell.
  std::uint64_t Era = 0;
  /// Store revision (not a time); 0 before the first read.
  std::int64_t Revision = 0;

  bool known() const { return Revision > 0; }

  auto operator<=>(const StorePosition &) const = default;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_STORE_POSITION_H
