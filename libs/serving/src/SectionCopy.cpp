#include "serving/SectionCopy.h"

#include <utility>

namespace rosemarylane::serving {

std::optional<SectionCopy::Change>
SectionCopy::adopt(StoreSection::Items NewItems, StorePosition At,
                   core::BootTime ConfirmedAt, core::BootTime Now) {
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
  StoreSection::Items Before;
  if (MayHaveLapsed || OutageAssumed)
    Before = Read.items();
  if (!Read.adopt(std::move(NewItems), At, ConfirmedAt, Result.UnchangedAt))
    return std::nullopt;
  if (MayHaveLapsed)
    Lapsed.retainMissing(Before, Read.items(), ConfirmedAt);
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

bool SectionCopy::expire(core::BootTime Now) {
  auto Staleness = Read.staleness(Now);
  return Staleness && Lapsed.expire(Read.items(), Now - *Staleness, Now);
}

void SectionCopy::assumeChangesAfter(core::BootTime OutageEnd,
                                     const StoreSection::Items &Before,
                                     bool SameEra) {
  for (const auto &[Key, Item] : Read.items()) {
    auto Known = Before.find(Key);
    if (Known == Before.end() || !Known->second.sameWriting(Item, SameEra))
      AssumedChanges.insert_or_assign(Key, AssumedChange{Item, OutageEnd});
  }
}

StoreSection::Items SectionCopy::items() const {
  StoreSection::Items Result = Lapsed.joinedWith(Read.items());
  for (const auto &[Key, Change] : AssumedChanges) {
    auto Found = Result.find(Key);
    if (Found == Result.end())
      continue;
    std::optional<core::BootTime> &ChangedAfter = Found->second.ChangedAfter;
    if (!ChangedAfter || *ChangedAfter < Change.ChangedAfter)
      ChangedAfter = Change.ChangedAfter;
  }
  return Result;
}

StoreSection::Comparison
SectionCopy::compareAndConfirm(const StoreSection::Summary &PeerSummary,
                               core::BootTime QueriedAt) {
  auto Result = Read.compareAndConfirm(PeerSummary, QueriedAt);
  if (Result == StoreSection::Comparison::PeerNewer && PeerSummary.Staleness)
    Outage.recordPeerAnswer(QueriedAt - *PeerSummary.Staleness);
  return Result;
}

} // namespace rosemarylane::serving
