#include "ledger/AttemptTable.h"

#include <algorithm>
#include <cassert>

namespace rosemarylane::ledger {

bool AttemptTable::start(const std::string &Id, core::TimePoint SentAfter,
                         core::TimePoint Now) {
  evictExpired(Now);
  if (Now - SentAfter > Bounds.MaxAttemptAge || mayHaveBeenEvicted(SentAfter))
    return false;
  auto [Found, New] = Records.try_emplace(Id);
  if (!New)
    return false;
  Found->second.RegisteredAt = Now;
  return true;
}

void AttemptTable::finish(const std::string &Id, Ran Executed,
                          std::shared_ptr<const CachedAnswer> Answer,
                          core::TimePoint Now) {
  auto Found = Records.find(Id);
  assert(Found != Records.end() && Found->second.State == Phase::Running);
  Record &R = Found->second;
  R.State = Phase::Finished;
  R.Executed = Executed;
  if (Answer) {
    AnswerBytes += Answer->Body.size();
    R.Answer = std::move(Answer);
    AnsweredAttempts.push_back(Id);
    evictAnswers();
  }
  addEnded(Id, Now);
}

AttemptOutcome AttemptTable::query(const std::string &Id,
                                   core::TimePoint SentAfter, bool Forbid,
                                   core::TimePoint Now) {
  evictExpired(Now);
  auto Found = Records.find(Id);
  if (Found != Records.end()) {
    const Record &R = Found->second;
    switch (R.State) {
    case Phase::Running:
      return {Ran::Unknown, true, nullptr};
    case Phase::Finished:
      return {R.Executed, false, R.Answer};
    case Phase::Forbidden:
      return {Ran::No, false, nullptr};
    }
  }
  if (mayHaveBeenEvicted(SentAfter))
    return {Ran::Unknown, false, nullptr};
  if (Forbid) {
    Record R;
    R.State = Phase::Forbidden;
    R.Executed = Ran::No;
    R.RegisteredAt = Now;
    Records.emplace(Id, std::move(R));
    addEnded(Id, Now);
  }
  return {Ran::No, false, nullptr};
}

bool AttemptTable::mayHaveBeenEvicted(core::TimePoint SentAfter) const {
  return LatestEvictedRegistration && SentAfter <= *LatestEvictedRegistration;
}

void AttemptTable::addEnded(const std::string &Id, core::TimePoint Now) {
  EndedAttempts.emplace_back(Now, Id);
  evictExpired(Now);
}

void AttemptTable::evictExpired(core::TimePoint Now) {
  while (!EndedAttempts.empty() &&
         (EndedAttempts.size() > Bounds.MaxRecords ||
          Now - EndedAttempts.front().first > Bounds.Retention)) {
    auto Found = Records.find(EndedAttempts.front().second);
    assert(Found != Records.end());
    core::TimePoint Registered = Found->second.RegisteredAt;
    LatestEvictedRegistration =
        std::max(LatestEvictedRegistration.value_or(Registered), Registered);
    if (Found->second.Answer)
      AnswerBytes -= Found->second.Answer->Body.size();
    Records.erase(Found);
    EndedAttempts.pop_front();
  }
}

void AttemptTable::evictAnswers() {
  while (AnswerBytes > Bounds.MaxTotalAnswerBytes &&
         !AnsweredAttempts.empty()) {
    auto Found = Records.find(AnsweredAttempts.front());
    if (Found != Records.end() && Found->second.Answer) {
      AnswerBytes -= Found->second.Answer->Body.size();
      Found->second.Answer = nullptr;
    }
    AnsweredAttempts.pop_front();
  }
}

} // namespace rosemarylane::ledger
