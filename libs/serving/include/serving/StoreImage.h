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

  bool operator==(const StoredItem &) const = default;
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
    std::optional<std::chrono::milliseconds> ProofAge;
  };

  enum class Compared { Same, TheirsNewer, MineNewer };

  /// Takes a complete read of the store, or a peer's copy of one.
  /// @param At the store's revision when it was read.
  /// @param Proof when the read was sent, in this process's time.
  /// @return whether the items changed.
  bool adopt(Items Read, std::int64_t At, core::BootTime Proof);

  /// The store confirmed at revision \p At that no item has changed.
  void confirm(std::int64_t At, core::BootTime Proof);

  /// Compares with a peer's summary and takes over its proof where both hold
  /// the same items.
  /// @param Asked when the peer was asked.
  Compared compare(const Summary &Theirs, core::BootTime Asked);

  Summary summary(core::BootTime Now) const;
  const Items &items() const { return Held; }
  std::int64_t at() const { return ReadAt; }
  bool known() const { return ReadAt > 0; }
  std::uint64_t digest() const { return ItemsDigest; }

  /// @return the age of the newest proof; none before the first read.
  std::optional<std::chrono::milliseconds> proofAge(core::BootTime Now) const;

private:
  Items Held;
  std::int64_t ReadAt = 0;
  std::uint64_t ItemsDigest = 0;
  std::optional<core::BootTime> Proof;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_STORE_IMAGE_H
