#ifndef ROSEMARYLANE_SERVING_STORE_SECTION_H
#define ROSEMARYLANE_SERVING_STORE_SECTION_H

#include "core/BootClock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace rosemarylane::serving {

/// A value as last written to the platform's store.
struct StoredItem {
  std::string Value;
  /// Store revision at which the value was written.
  std::int64_t Revision = 0;
  /// The latest known time at which the store did not yet hold this revision;
  /// absent if no known process had read the item before it changed.
  std::optional<core::BootTime> ChangedAfter;

  bool operator==(const StoredItem &Other) const {
    return Value == Other.Value && Revision == Other.Revision;
  }
};

/// Local copy of all items below one prefix of the platform's store, with a
/// bound on its staleness.
///
/// Processes exchange sections so that not all of them have to read the store;
/// the copy with the higher store revision wins, so that no process goes back
/// to an older state. The staleness is counted from the moment at which the
/// confirming linearizable read was *sent*. Between processes it is passed as
/// an age relative to the moment at which the query was sent, so that a delayed
/// message never understates it. Value type without a clock of its own; not
/// thread-safe.
class StoreSection {
public:
  using Items = std::map<std::string, StoredItem>;

  /// What two processes compare before they exchange items: store revision,
  /// digest of the items, and staleness.
  struct Summary {
    /// Store revision (not a time) of the read; 0 before the first read.
    std::int64_t At = 0;
    std::uint64_t Digest = 0;
    std::optional<std::chrono::milliseconds> Staleness;
    /// `ChangedAfter` is known for all items.
    bool HasChangeTimes = false;
  };

  enum class Comparison { Same, PeerNewer, LocalNewer };

  /// Adopts a complete read of the store, or a peer's copy of one, unless it is
  /// older than the current copy: by its store revision, or at the same
  /// revision by when it was confirmed.
  /// @param StoreRevision store revision of the read.
  /// @param ReadSentAt when the read was sent, in local time.
  /// @param UnchangedAt latest local time at which the store was known to hold
  /// the items that this copy has before the call; absent if unknown. Each
  /// item that \p Read shows changed gets it as `ChangedAfter`, unless \p Read
  /// itself has a later one.
  /// @return whether this copy's items changed, or \p Read has a later
  /// `ChangedAfter` for an unchanged item.
  bool adopt(Items Read, std::int64_t StoreRevision, core::BootTime ReadSentAt,
             std::optional<core::BootTime> UnchangedAt = std::nullopt);

  /// @return whether `ChangedAfter` is unknown for some item; a peer that has
  /// run for longer may know it.
  bool lacksChangeTimes() const;

  /// Records that no item had changed at store revision \p StoreRevision.
  /// @param ReadSentAt when the confirming read was sent, in local time.
  void confirm(std::int64_t StoreRevision, core::BootTime ReadSentAt);

  /// Compares this copy with a peer's summary. If both hold the same items,
  /// calls `confirm` with the peer's store revision and staleness.
  /// @param QueriedAt when the peer was queried, in local time.
  /// @return `Same` if both hold the same items; `PeerNewer` if the peer's
  /// store revision is higher; otherwise `LocalNewer`, which includes equal
  /// revisions with different items, and a peer that has never read the store.
  Comparison compareAndConfirm(const Summary &PeerSummary,
                               core::BootTime QueriedAt);

  Summary summary(core::BootTime Now) const;
  const Items &items() const { return Current; }
  /// @return the store revision (not a time) of this copy; 0 before the first
  /// read.
  std::int64_t at() const { return ReadRevision; }
  bool known() const { return ReadRevision > 0; }
  std::uint64_t digest() const { return ItemsDigest; }

  /// @return the time since the items were last confirmed, rounded up; absent
  /// before the first read.
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

#endif // ROSEMARYLANE_SERVING_STORE_SECTION_H
