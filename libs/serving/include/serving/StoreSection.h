#ifndef ROSEMARYLANE_SERVING_STORE_SECTION_H
#define ROSEMARYLANE_SERVING_STORE_SECTION_H

#include "core/BootClock.h"
#include "serving/EarlierWritings.h"
#include "serving/StorePosition.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace rosemarylane::serving {

/// A value as last written to the platform's store.
struct StoredItem {
  std::string Value;
  /// Store revision at which the value was written, in the era of the section
  /// that holds the item; 0 if unknown.
  std::int64_t Revision = 0;
  /// The latest known time at which the store did not yet hold this revision;
  /// absent if no known process had read the item before it changed.
  std::optional<core::BootTime> ChangedAfter;
  /// When the first read that showed this process the value was sent; set by
  /// `StoreSection::adopt` and not passed on.
  std::optional<core::BootTime> HeldAt = std::nullopt;

  bool operator==(const StoredItem &Other) const {
    return Value == Other.Value && Revision == Other.Revision;
  }

  /// @param SameEra whether both revisions are of one era of the store. What
  /// is written again after the store was restored counts as the same.
  /// @return whether both are the same writing of one value, as far as their
  /// revisions tell.
  bool sameWriting(const StoredItem &Other, bool SameEra) const {
    bool Comparable = SameEra && Revision != 0 && Other.Revision != 0;
    return Value == Other.Value && (!Comparable || Revision == Other.Revision);
  }
};

/// Local copy of all items below one prefix of the platform's store, with a
/// bound on its staleness.
///
/// Processes exchange sections so that not all of them have to read the store;
/// the copy with the higher store position wins, so that no process goes back
/// to an older state. Revisions of two eras (see `StorePosition`) are never
/// compared: what was read in one era confirms nothing in another. The
/// staleness is counted from the moment at which the confirming linearizable
/// read was *sent*. Between processes it is passed as an age relative to the
/// moment at which the query was sent, so that a delayed message never
/// understates it. Value type without a clock of its own; not thread-safe.
class StoreSection {
public:
  using Items = std::map<std::string, StoredItem>;

  /// What two processes compare before they exchange items: store position,
  /// digest of the items, and staleness.
  struct Summary {
    /// Store position of the read; unknown before the first read.
    StorePosition At;
    std::uint64_t Digest = 0;
    std::optional<std::chrono::milliseconds> Staleness;
    /// `ChangedAfter` is known for all items.
    bool HasChangeTimes = false;
    /// Time since the era of `At` was first seen (see `EraSightings`); a
    /// section by itself does not know it.
    std::optional<std::chrono::milliseconds> EraAge;
  };

  enum class Comparison { Same, PeerNewer, LocalNewer };

  /// Adopts a complete read of the store, or a peer's copy of one, unless it is
  /// older than the current copy: by its store position, or at the same
  /// position by when it was confirmed.
  /// @param At store position of the read.
  /// @param ReadSentAt when the read was sent, in local time.
  /// @param UnchangedAt latest local time at which the store was known to hold
  /// the items that this copy has before the call; absent if unknown. Each
  /// item that \p Read shows changed gets it as `ChangedAfter`, unless \p Read
  /// itself has a later one. What an earlier era held already keeps the time of
  /// its first writing.
  /// @return whether this copy's items changed, or \p Read has a later
  /// `ChangedAfter` for an unchanged item.
  bool adopt(Items Read, StorePosition At, core::BootTime ReadSentAt,
             std::optional<core::BootTime> UnchangedAt = std::nullopt);

  /// @return whether `ChangedAfter` is unknown for some item; a peer that has
  /// run for longer may know it.
  bool lacksChangeTimes() const;

  /// What the store is asked to confirm: that the items have the revisions of
  /// this copy.
  struct Question {
    std::uint64_t Era = 0;
    std::uint64_t Digest = 0;
  };

  /// @return the question for the current copy; absent before the first read,
  /// or if the revision of an item is unknown, as the store would understand
  /// that the item does not exist.
  std::optional<Question> question() const;

  /// Records that no item had changed at \p At.
  /// @param ReadSentAt when the confirming read was sent, in local time.
  /// @return whether it counts: only in the era of this copy, as a restored
  /// store gives revisions out again.
  bool confirm(StorePosition At, core::BootTime ReadSentAt);

  /// The same for the store's answer to \p Asked. It counts only if question,
  /// answer and this copy are of one era, and the copy was not replaced
  /// meanwhile.
  bool confirm(const Question &Asked, StorePosition At,
               core::BootTime ReadSentAt);

  /// Compares this copy with a peer's summary. If both hold the same items and
  /// the peer's era is not lower, takes over the peer's position and staleness.
  /// If its era is higher, the revisions of the items are forgotten, as they
  /// are those of another history.
  /// @param QueriedAt when the peer was queried, in local time.
  /// @return `Same` if both hold the same items, and the peer's era is not
  /// lower; `PeerNewer` if the peer's store position is higher; otherwise
  /// `LocalNewer`, which includes equal positions with different items, and a
  /// peer that has never read the store.
  Comparison compareAndConfirm(const Summary &PeerSummary,
                               core::BootTime QueriedAt);

  Summary summary(core::BootTime Now) const;
  const Items &items() const { return Current; }
  /// @return the store position of this copy; unknown before the first read.
  StorePosition at() const { return Position; }
  bool known() const { return Position.known(); }
  std::uint64_t digest() const { return ItemsDigest; }

  /// @return whether an earlier era held \p Value.
  bool heldInEarlierEra(const std::string &Key,
                        const std::string &Value) const {
    return Earlier.contains(Key, Value);
  }

  /// @return when the last confirming read was sent; absent before the first.
  std::optional<core::BootTime> confirmedAt() const { return ConfirmedAt; }

  /// @return the time since the items were last confirmed, rounded up; absent
  /// before the first read.
  std::optional<std::chrono::milliseconds> staleness(core::BootTime Now) const;

private:
  bool sameWritings(const Items &Read, bool SameEra) const;
  bool mergeKnown(Items &Read, bool SameEra, core::BootTime ReadSentAt,
                  std::optional<core::BootTime> UnchangedAt) const;
  void takePosition(StorePosition At);
  void rememberWritings();

  Items Current;
  StorePosition Position;
  std::uint64_t ItemsDigest = 0;
  std::optional<core::BootTime> ConfirmedAt;
  EarlierWritings Earlier;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_STORE_SECTION_H
