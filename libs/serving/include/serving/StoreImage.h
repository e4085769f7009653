#ifndef ROSEMARYLANE_SERVING_STORE_IMAGE_H
#define ROSEMARYLANE_SERVING_STORE_IMAGE_H

#include "core/BootClock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace rosemarylane::serving {

/// A value in the platform's store, as it was last written.
struct StoredItem {
  std::string Value;
  std::int64_t Revision = 0;
  /// The newest moment at which the store certainly did not hold this revision
  /// yet; absent if no process that is known had read it before.
  std::optional<core::BootTime> ChangedAfter;

  bool operator==(const StoredItem &Other) const {
    return Value == Other.Value && Revision == Other.Revision;
  }
};

/// All items below one prefix of the platform's store, as this process knows
/// them, and how old the newest proof is that the store still held them.
///
/// A section travels between processes: the one read at the higher store
/// revision wins, so nobody goes back. A proof is the moment at which a
/// linearizable read was *sent*; it is handed on as an age, and the age is
/// added to the moment at which the question was sent, so that a delayed
/// message never makes a proof look younger. A value type.
class StoreSection {
public:
  using Items = std::map<std::string, StoredItem>;

  /// What two processes compare before they exchange items.
  struct Summary {
    std::int64_t At = 0;
    std::uint64_t Digest = 0;
    std::optional<std::chrono::milliseconds> Staleness;
    /// It is known of all items when they changed.
    bool HasChangeTimes = false;
  };

  enum class Comparison { Same, PeerNewer, LocalNewer };

  /// Takes a complete read of the store, or a peer's copy of one.
  /// @param At the store's revision when it was read.
  /// @param Proof when the read was sent, in this process's time.
  /// @param Unchanged when the store certainly still held the items as they are
  /// known here; absent if nothing is known.
  /// @return whether the items changed, or more is known of when they did.
  bool adopt(Items Read, std::int64_t At, core::BootTime ConfirmedAt,
             std::optional<core::BootTime> UnchangedAt = std::nullopt);

  /// @return whether it is not known of some item when it changed: a peer that
  /// has run for longer may know.
  bool lacksChangeTimes() const;

  /// The store confirmed at revision \p At that no item has changed.
  void confirm(std::int64_t At, core::BootTime ConfirmedAt);

  /// Compares with a peer's summary and takes over its proof where both hold
  /// the same items.
  /// @param Asked when the peer was asked.
  Comparison compare(const Summary &Theirs, core::BootTime Asked);

  Summary summary(core::BootTime Now) const;
  const Items &items() const { return Current; }
  std::int64_t at() const { return ReadRevision; }
  bool known() const { return ReadRevision > 0; }
  std::uint64_t digest() const { return ItemsDigest; }

  /// @return the age of the newest proof; none before the first read.
  std::optional<std::chrono::milliseconds> staleness(core::BootTime Now) const;

private:
  bool mergeChangeTimes(Items &Read,
                        std::optional<core::BootTime> UnchangedAt) const;

  Items Current;
  std::int64_t ReadRevision = 0;
  std::uint64_t ItemsDigest = 0;
  std::optional<core::BootTime> ConfirmedAt;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_STORE_IMAGE_H
