#include "serving/SectionCopy.h"

#include <utility>

namespace rosemarylane::serving {

std::optional<SectionCopy::Change>
SectionCopy::adopt(StoreSection::Items NewItems, StorePosition At,
                   core::BootTime ConfirmedAt, core::BootTime Now) {
  recordEra(At.Era, Now);
  Change Result;
  if (auto Staleness = Read.staleness(Now)) {
    Result.UnchangedAt = Now - *Staleness;
    Result.CountdownStart = Outage.countdownStart(*Result.UnchangedAt);
  }
  bool MayHaveLapsed = MeaningOfMissing == Missing::MayHaveLapsed &&
                       Result.UnchangedAt &&
                       Outage.mayHaveLapsed(*Result.UnchangedAt, ConfirmedAt);
  bool OutageAssumed = Result.CountdownStart != Result.UnchangedAt;
  bool SameEra = At.Era == Read.at().Era;
  bool IsRestored = Read.known() && At.Era > Read.at().Era;
  StoreSection::Items Before = Read.items();
  StoreSection::Items Usable;
  if (MayHaveLapsed)
    Usable = Returned.usable(Before);
  StoreSection::Items Acted;
  if (IsRestored) {
    Acted = items();
    EarlierProof = provenAt();
  }
  bool Changed =
      Read.adopt(std::move(NewItems), At, ConfirmedAt, Result.UnchangedAt);
  if (IsRestored)
    storeRestored(Acted, Now);
  if (!Changed)
    return std::nullopt;
  if (MayHaveLapsed)
    Lapsed.retainMissing(Usable, Read.items(), ConfirmedAt);
  if (SameEra) {
    Records.update(Read.items());
    Returned.recordChange(Before, Read.items(), Now);
  }
  std::erase_if(AssumedChanges, [&](const auto &Entry) {
    auto Known = Read.items().find(Entry.first);
    return Known == Read.items().end() ||
           !Known->second.sameWriting(Entry.second.Item, SameEra);
  });
  if (OutageAssumed)
    assumeChangesAfter(*Result.CountdownStart, Before, SameEra);
  expire(Now);
  return Result;
}

/// Keeps what this process acted on, where the store from an older copy shows
/// less.
void SectionCopy::storeRestored(const StoreSection::Items &Acted,
                                core::BootTime Now) {
  if (MeaningOfMissing == Missing::Gone) {
    Records.storeRestored(Acted, Read.items());
    return;
  }
  Returned.storeRestored(Acted, Read.items(), Now);
  core::BootTime SeenAt = Sightings.firstSeen(Read.at().Era).value_or(Now);
  Lapsed.retainThroughRestore(Acted, Returned.usable(Read.items()), SeenAt);
}

bool SectionCopy::expire(core::BootTime Now) {
  auto Staleness = Read.staleness(Now);
  if (!Staleness)
    return false;
  core::BootTime ConfirmedAt = Now - *Staleness;
  bool Changed = Records.expire(Read.at(), ConfirmedAt, Sightings);
  Changed |= Returned.expire(Read.items(), Read.at(), ConfirmedAt, Sightings);
  if (!Lapsed.empty())
    Changed |= Lapsed.expire(Returned.usable(Read.items()), ConfirmedAt, Now);
  return Changed;
}

void SectionCopy::assumeChangesAfter(core::BootTime OutageEnd,
                                     const StoreSection::Items &Before,
                                     bool SameEra) {
  for (const auto &[Key, Item] : Read.items()) {
    auto Known = Before.find(Key);
    bool Changed =
        Known == Before.end() || !Known->second.sameWriting(Item, SameEra);
    // What is written again after a restore was named before.
    if (Changed && !Read.heldInEarlierEra(Key, Item.Value))
      AssumedChanges.insert_or_assign(Key, AssumedChange{Item, OutageEnd});
  }
}

StoreSection::Items SectionCopy::items() const {
  StoreSection::Items Result = Returned.usable(Read.items());
  for (const auto &[Key, Change] : AssumedChanges) {
    auto Found = Result.find(Key);
    if (Found == Result.end())
      continue;
    std::optional<core::BootTime> &ChangedAfter = Found->second.ChangedAfter;
    if (!ChangedAfter || *ChangedAfter < Change.ChangedAfter)
      ChangedAfter = Change.ChangedAfter;
  }
  Records.applyTo(Result);
  return Lapsed.empty() ? Result : Lapsed.joinedWith(Result);
}

StoreSection::Comparison
SectionCopy::compareAndConfirm(const StoreSection::Summary &PeerSummary,
                               core::BootTime QueriedAt, core::BootTime Now) {
  StorePosition Theirs = PeerSummary.At;
  if (Theirs.known())
    recordEra(Theirs.Era,
              Now - PeerSummary.EraAge.value_or(std::chrono::milliseconds(0)));
  bool TakesEra = Read.known() && Theirs.known() &&
                  Theirs.Era > Read.at().Era &&
                  PeerSummary.Digest == Read.digest();
  StoreSection::Items Acted;
  if (TakesEra) {
    Acted = items();
    EarlierProof = provenAt();
  }
  auto Result = Read.compareAndConfirm(PeerSummary, QueriedAt);
  if (TakesEra)
    storeRestored(Acted, Now);
  if (Result == StoreSection::Comparison::PeerNewer && PeerSummary.Staleness)
    Outage.recordPeerAnswer(QueriedAt - *PeerSummary.Staleness);
  return Result;
}

std::optional<core::BootTime> SectionCopy::provenAt() const {
  auto ConfirmedAt = Read.confirmedAt();
  bool Proves =
      ConfirmedAt && Sightings.isRewritten(Read.at().Era, *ConfirmedAt);
  return Proves ? ConfirmedAt : EarlierProof;
}

std::optional<std::chrono::milliseconds>
SectionCopy::proofAge(core::BootTime Now) const {
  auto Proven = provenAt();
  if (!Proven)
    return std::nullopt;
  return std::chrono::ceil<std::chrono::milliseconds>(Now - *Proven);
}

StoreSection::Summary SectionCopy::summary(core::BootTime Now) const {
  StoreSection::Summary Result = Read.summary(Now);
  Result.EraAge = Sightings.age(Result.At.Era, Now);
  return Result;
}

} // namespace rosemarylane::serving
