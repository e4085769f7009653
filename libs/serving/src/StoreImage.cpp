#include "serving/StoreImage.h"

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

bool StoreSection::adopt(Items Read, std::int64_t At, core::BootTime Sent,
                         std::optional<core::BootTime> UnchangedAt) {
  if (known() && At < ReadRevision)
    return false;
  bool TimesImproved = mergeChangeTimes(Read, UnchangedAt);
  bool Changed = !known() || Read != Current || TimesImproved;
  if (Changed) {
    Current = std::move(Read);
    ItemsDigest = digestOf(Current);
  }
  ReadRevision = At;
  if (!ConfirmedAt || Sent > *ConfirmedAt)
    ConfirmedAt = Sent;
  return Changed;
}

/// Adds the locally known change times to \p Read.
/// @return whether \p Read knows the change time of a current item more
/// precisely.
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

void StoreSection::confirm(std::int64_t At, core::BootTime Sent) {
  ReadRevision = std::max(ReadRevision, At);
  if (!ConfirmedAt || Sent > *ConfirmedAt)
    ConfirmedAt = Sent;
}

StoreSection::Comparison StoreSection::compare(const Summary &Theirs,
                                               core::BootTime Asked) {
  if (Theirs.At == 0)
    return Comparison::LocalNewer;
  if (known() && Theirs.Digest == ItemsDigest) {
    if (Theirs.Staleness)
      confirm(Theirs.At, Asked - *Theirs.Staleness);
    return Comparison::Same;
  }
  return Theirs.At > ReadRevision ? Comparison::PeerNewer
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
