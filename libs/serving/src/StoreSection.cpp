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

bool StoreSection::adopt(Items Read, StorePosition At,
                         core::BootTime ReadSentAt,
                         std::optional<core::BootTime> UnchangedAt) {
  if (known() && At < Position)
    return false;
  bool SameEra = At.Era == Position.Era;
  // A read of several pages is no snapshot: of two reads that differ at one
  // revision, the later one is newer.
  bool ConfirmedLater = !ConfirmedAt || ReadSentAt > *ConfirmedAt;
  if (known() && At == Position && !sameWritings(Read, SameEra) &&
      !ConfirmedLater)
    return false;
  if (!SameEra)
    rememberWritings();
  bool TimesImproved = mergeKnown(Read, SameEra, ReadSentAt, UnchangedAt);
  bool Changed = !known() || !sameWritings(Read, SameEra) || TimesImproved;
  Current = std::move(Read);
  if (Changed)
    ItemsDigest = digestOf(Current);
  Position = At;
  // Nothing that was read in an earlier era says how fresh this one is.
  if (!SameEra || ConfirmedLater)
    ConfirmedAt = ReadSentAt;
  return Changed;
}

/// To be called before the era of this copy rises.
void StoreSection::rememberWritings() {
  for (const auto &[Key, Item] : Current)
    if (Item.HeldAt)
      Earlier.remember(Key, Item.Value, Item.ChangedAfter, *Item.HeldAt);
}

/// @return whether \p Read holds the items of the current copy, as
/// `StoredItem::sameWriting` tells.
bool StoreSection::sameWritings(const Items &Read, bool SameEra) const {
  return std::equal(Read.begin(), Read.end(), Current.begin(), Current.end(),
                    [&](const auto &A, const auto &B) {
                      return A.first == B.first &&
                             A.second.sameWriting(B.second, SameEra);
                    });
}

/// Adds to \p Read what this copy knows of the same items: their revisions, if
/// \p Read is a peer's and lacks them. Raises each item's `ChangedAfter` in \p
/// Read where a later one is known locally: that of the current copy if the
/// item is unchanged, otherwise \p UnchangedAt.
/// @return whether \p Read has a later `ChangedAfter` than the current copy for
/// an item that both hold.
bool StoreSection::mergeKnown(Items &Read, bool SameEra,
                              core::BootTime ReadSentAt,
                              std::optional<core::BootTime> UnchangedAt) const {
  bool Improved = false;
  for (auto &[Key, Item] : Read) {
    auto Local = Current.find(Key);
    bool Same =
        Local != Current.end() && Local->second.sameWriting(Item, SameEra);
    if (Same && SameEra && Item.Revision == 0)
      Item.Revision = Local->second.Revision;
    Item.HeldAt = Same ? Local->second.HeldAt : ReadSentAt;
    Item.ChangedAfter = Earlier.ofFirst(Key, Item.Value, Item.ChangedAfter);
    std::optional<core::BootTime> Known =
        Same ? Local->second.ChangedAfter
             : std::max(Earlier.changedAfter(Key, Item.Value),
                        Earlier.ofFirst(Key, Item.Value, UnchangedAt));
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

std::optional<StoreSection::Question> StoreSection::question() const {
  bool Complete = known() && std::none_of(Current.begin(), Current.end(),
                                          [](const auto &Entry) {
                                            return Entry.second.Revision == 0;
                                          });
  if (!Complete)
    return std::nullopt;
  return Question{Position.Era, ItemsDigest};
}

bool StoreSection::confirm(StorePosition At, core::BootTime ReadSentAt) {
  if (!known() || At.Era != Position.Era)
    return false;
  Position = std::max(Position, At);
  if (!ConfirmedAt || ReadSentAt > *ConfirmedAt)
    ConfirmedAt = ReadSentAt;
  return true;
}

bool StoreSection::confirm(const Question &Asked, StorePosition At,
                           core::BootTime ReadSentAt) {
  bool Answered = Asked.Era == At.Era && Asked.Digest == ItemsDigest;
  return Answered && confirm(At, ReadSentAt);
}

/// Takes over the position of a later era that holds the same items.
void StoreSection::takePosition(StorePosition At) {
  rememberWritings();
  Position = At;
  for (auto &[Key, Item] : Current)
    Item.Revision = 0;
}

StoreSection::Comparison
StoreSection::compareAndConfirm(const Summary &PeerSummary,
                                core::BootTime QueriedAt) {
  if (!PeerSummary.At.known())
    return Comparison::LocalNewer;
  bool SameItems = known() && PeerSummary.Digest == ItemsDigest;
  if (SameItems && PeerSummary.At.Era >= Position.Era) {
    if (PeerSummary.At.Era > Position.Era)
      takePosition(PeerSummary.At);
    if (PeerSummary.Staleness)
      confirm(PeerSummary.At, QueriedAt - *PeerSummary.Staleness);
    return Comparison::Same;
  }
  return PeerSummary.At > Position ? Comparison::PeerNewer
                                   : Comparison::LocalNewer;
}

StoreSection::Summary StoreSection::summary(core::BootTime Now) const {
  return {Position, ItemsDigest, staleness(Now), known() && !lacksChangeTimes(),
          std::nullopt};
}

std::optional<std::chrono::milliseconds>
StoreSection::staleness(core::BootTime Now) const {
  if (!ConfirmedAt)
    return std::nullopt;
  // Rounded up so that the age is never understated.
  return std::chrono::ceil<std::chrono::milliseconds>(Now - *ConfirmedAt);
}

} // namespace rosemarylane::serving
