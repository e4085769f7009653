#include "serving/SectionCopy.h"

#include <utility>

namespace rosemarylane::serving {

std::optional<SectionCopy::Change>
SectionCopy::adopt(StoreSection::Items NewItems, std::int64_t StoreRevision,
                   core::BootTime ConfirmedAt, core::BootTime Now) {
  Change Result;
  if (auto Staleness = Read.staleness(Now)) {
    Result.UnchangedAt = Now - *Staleness;
    Result.CountdownStart = Outage.countdownStart(*Result.UnchangedAt);
  }
  bool MayHaveLapsed = MeaningOfMissing == Missing::MayHaveLapsed &&
                       Result.UnchangedAt &&
                       Outage.mayHaveLapsed(*Result.UnchangedAt, Now);
  StoreSection::Items Before;
  if (MayHaveLapsed)
    Before = Read.items();
  if (!Read.adopt(std::move(NewItems), StoreRevision, ConfirmedAt,
                  Result.CountdownStart))
    return std::nullopt;
  if (MayHaveLapsed)
    Lapsed.retainMissing(Before, Read.items(), Now);
  Lapsed.expire(Read.items(), Now);
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
