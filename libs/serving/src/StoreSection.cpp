#include "serving/StoreSection.h"

#include "core/Rendezvous.h"

#include <algorithm>

namespace rosemarylane::serving {

namespace {

std::uint64_t digestOf(const StoreSection::Items &Items) {
  std::uint64_t Digest = 1;
  for (const auto &[Key, Item] : Items)
    Digest = Digest * 31 + core::rendezvousWeight(Key, Item.Value);
  return Digest;
}

} // namespace

bool StoreSection::adopt(Items Read, std::int64_t StoreRevision,
                         core::BootTime ReadSentAt,
                         std::optional<core::BootTime> UnchangedAt) {
  if (known() && StoreRevision < ReadRevision)
    return false;
  // A read of several pages is no snapshot: of two reads that differ at one
  // revision, the later one is newer.
  bool ConfirmedLater = !ConfirmedAt || ReadSentAt > *ConfirmedAt;
  if (known() && StoreRevision == ReadRevision && Read != Current &&
      !ConfirmedLater)
    return false;
  bool TimesImproved = mergeChangeTimes(Read, UnchangedAt);
  bool Changed = !known() || Read != Current || TimesImproved;
  if (Changed) {
    Current = std::move(Read);
    ItemsDigest = digestOf(Current);
  }
  ReadRevision = StoreRevision;
  if (!ConfirmedAt || ReadSentAt > *ConfirmedAt)
    ConfirmedAt = ReadSentAt;
  return Changed;
}

/// Raises each item's `ChangedAfter` in \p Read where a later one is known
/// locally: that of the current copy if the item is unchanged, otherwise
/// \p UnchangedAt.
/// @return whether \p Read has a later `ChangedAfter` than the current copy for
/// an item that both hold.
bool StoreSection::mergeChangeTimes(
    Items &Read, std::optional<core::BootTime> UnchangedAt) const {
  bool Improved = false;
  for (auto &[Key, Item] : Read) {
    auto Local = Current.find(Key);
    bool Same = Local != Current.end() && Local->second == Item;
    std::optional<core::BootTime> Known =
        Same ? Local->second.ChangedAfter : UnchangedAt;
    Improved |=
        Same && Item.ChangedAfter && (!Known || *Known < *Item.ChangedAfter);
    if (Known && (!Item.ChangedAfter || *Item.ChangedAfter < *Known))
      Item.ChangedAfter = Known;
  }
  return Improved;
}

bool StoreSection::lacksChangeTimes() const {
  return std::any_of(Current.begin(), Current.end(), [](const auto &Entry) {
    return !Entry.second.ChangedAfter;
  });
}

void StoreSection::confirm(std::int64_t StoreRevision,
                           core::BootTime ReadSentAt) {
  ReadRevision = std::max(ReadRevision, StoreRevision);
  if (!ConfirmedAt || ReadSentAt > *ConfirmedAt)
    ConfirmedAt = ReadSentAt;
}

StoreSection::Comparison
StoreSection::compareAndConfirm(const Summary &PeerSummary,
                                core::BootTime QueriedAt) {
  if (PeerSummary.At == 0)
    return Comparison::LocalNewer;
  if (known() && PeerSummary.Digest == ItemsDigest) {
    if (PeerSummary.Staleness)
      confirm(PeerSummary.At, QueriedAt - *PeerSummary.Staleness);
    return Comparison::Same;
  }
  return PeerSummary.At > ReadRevision ? Comparison::PeerNewer
                                       : Comparison::LocalNewer;
}

StoreSection::Summary StoreSection::summary(core::BootTime Now) const {
  return {ReadRevision, ItemsDigest, staleness(Now),
          known() && !lacksChangeTimes()};
}

std::optional<std::chrono::milliseconds>
StoreSection::staleness(core::BootTime Now) const {
  if (!ConfirmedAt)
    return std::nullopt;
  // Rounded up so that the age is never understated.
  return std::chrono::ceil<std::chrono::milliseconds>(Now - *ConfirmedAt);
}

} // namespace rosemarylane::serving
