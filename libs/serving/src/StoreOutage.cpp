#include "serving/StoreOutage.h"

#include <algorithm>

namespace rosemarylane::serving {

using core::BootTime;

namespace {

/// Adds \p When and removes what is older than `StoreOutage::Memory`.
void remember(std::set<BootTime> &Times, BootTime When) {
  Times.insert(When);
  BootTime Newest = *Times.rbegin();
  Times.erase(Times.begin(), Times.lower_bound(Newest - StoreOutage::Memory));
}

/// @return the last of \p Times that is later than \p After and earlier than
/// \p Before, if \p Before is set.
std::optional<BootTime> lastBetween(const std::set<BootTime> &Times,
                                    BootTime After,
                                    std::optional<BootTime> Before) {
  auto End = Before ? Times.lower_bound(*Before) : Times.end();
  if (End == Times.begin() || *std::prev(End) <= After)
    return std::nullopt;
  return *std::prev(End);
}

} // namespace

void StoreOutage::recordReadFailure(BootTime Now) { remember(Failures, Now); }

void StoreOutage::recordPeerFailure(BootTime Now) {
  remember(PeerFailures, Now);
}

void StoreOutage::recordPeerAnswer(BootTime ConfirmedAt) {
  remember(PeerAnswers, ConfirmedAt);
}

bool StoreOutage::notPartitionedSince(BootTime When) const {
  return !LastPossiblePartition || *LastPossiblePartition < When;
}

std::optional<BootTime> StoreOutage::firstAnswerAfter(BootTime When) const {
  auto First = PeerAnswers.upper_bound(When);
  if (First == PeerAnswers.end())
    return std::nullopt;
  return *First;
}

BootTime StoreOutage::countdownStart(BootTime UnchangedAt) const {
  auto LastFailure =
      lastBetween(Failures, UnchangedAt, firstAnswerAfter(UnchangedAt));
  bool Outage = LastFailure && *LastFailure - UnchangedAt >= MinOutage;
  return notPartitionedSince(UnchangedAt) && Outage ? *LastFailure
                                                    : UnchangedAt;
}

bool StoreOutage::mayHaveLapsed(BootTime UnchangedAt,
                                BootTime ChangedReadAt) const {
  auto Answer = firstAnswerAfter(UnchangedAt);
  BootTime End = Answer ? std::min(*Answer, ChangedReadAt) : ChangedReadAt;
  BootTime FailingFrom = UnchangedAt + MinFailing;
  bool Failed = lastBetween(Failures, FailingFrom, Answer) ||
                lastBetween(PeerFailures, FailingFrom, Answer);
  return notPartitionedSince(UnchangedAt) && Failed &&
         End - UnchangedAt >= MinLapse;
}

} // namespace rosemarylane::serving
