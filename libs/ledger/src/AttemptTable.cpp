#include "ledger/AttemptTable.h"

#include <algorithm>
#include <cassert>

namespace rosemarylane::ledger {

bool AttemptTable::start(const std::string &Id, core::TimePoint SentAfter,
                         core::TimePoint Now) {
  forgetOld(Now);
  if (Now - SentAfter > Bounds.MaxAge || mayBeForgotten(SentAfter))
    return false;
  auto [Found, New] = Records.try_emplace(Id);
  if (!New)
    return false;
  Found->second.StartedAt = Now;
  return true;
}

void AttemptTable::finish(const std::string &Id, Ran What,
                          std::shared_ptr<const HeldAnswer> Answer,
                          core::TimePoint Now) {
  auto Found = Records.find(Id);
  assert(Found != Records.end() && Found->second.State == Phase::Running);
  Record &R = Found->second;
  R.State = Phase::Finished;
  R.What = What;
  if (Answer) {
    AnswerBytes += Answer->Body.size();
    R.Answer = std::move(Answer);
    Holding.push_back(Id);
    dropAnswers();
  }
  remember(Id, Now);
}

AttemptOutcome AttemptTable::query(const std::string &Id,
                                   core::TimePoint SentAfter, bool Forbid,
                                   core::TimePoint Now) {
  forgetOld(Now);
  auto Found = Records.find(Id);
  if (Found != Records.end()) {
    const Record &R = Found->second;
    switch (R.State) {
    case Phase::Running:
      return {Ran::Unknown, true, nullptr};
    case Phase::Finished:
      return {R.What, false, R.Answer};
    case Phase::Forbidden:
      return {Ran::No, false, nullptr};
    }
  }
  if (mayBeForgotten(SentAfter))
    return {Ran::Unknown, false, nullptr};
  if (Forbid) {
    Record R;
    R.State = Phase::Forbidden;
    R.What = Ran::No;
    R.StartedAt = Now;
    Records.emplace(Id, std::move(R));
    remember(Id, Now);
  }
  return {Ran::No, false, nullptr};
}

bool AttemptTable::mayBeForgotten(core::TimePoint SentAfter) const {
  return LatestForgotten && SentAfter <= *LatestForgotten;
}

void AttemptTable::remember(const std::string &Id, core::TimePoint Now) {
  Ended.emplace_back(Now, Id);
  forgetOld(Now);
}

void AttemptTable::forgetOld(core::TimePoint Now) {
  while (!Ended.empty() && (Ended.size() > Bounds.MaxRecords ||
                            Now - Ended.front().first > Bounds.Retention)) {
    auto Found = Records.find(Ended.front().second);
    assert(Found != Records.end());
    core::TimePoint Started = Found->second.StartedAt;
    LatestForgotten = std::max(LatestForgotten.value_or(Started), Started);
    if (Found->second.Answer)
      AnswerBytes -= Found->second.Answer->Body.size();
    Records.erase(Found);
    Ended.pop_front();
  }
}

void AttemptTable::dropAnswers() {
  while (AnswerBytes > Bounds.MaxAnswerBytes && !Holding.empty()) {
    auto Found = Records.find(Holding.front());
    if (Found != Records.end() && Found->second.Answer) {
      AnswerBytes -= Found->second.Answer->Body.size();
      Found->second.Answer = nullptr;
    }
    Holding.pop_front();
  }
}

} // namespace rosemarylane::ledger
