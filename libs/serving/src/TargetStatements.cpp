#include "serving/TargetStatements.h"

#include <algorithm>
#include <limits>

namespace rosemarylane::serving {

TargetStatements::Statement &
TargetStatements::statementOf(const TargetIncarnation &Target,
                              core::BootTime Now) {
  if (Statements.size() >= MaxIncarnations && !Statements.contains(Target))
    Statements.erase(std::min_element(
        Statements.begin(), Statements.end(), [](const auto &A, const auto &B) {
          return A.second.MentionedAt < B.second.MentionedAt;
        }));
  Statement &Result = Statements[Target];
  Result.MentionedAt = Now;
  return Result;
}

/// Passes each statement that may be one of \p Target to \p Visit.
template <typename Visitor>
void TargetStatements::visit(const TargetIncarnation &Target,
                             Visitor Visit) const {
  TargetIncarnation First{Target.Id, std::numeric_limits<std::int64_t>::min()};
  for (auto Entry = Statements.lower_bound(First);
       Entry != Statements.end() && Entry->first.Id == Target.Id; ++Entry) {
    std::int64_t StartTimeMs = Entry->first.StartTimeMs;
    if (StartTimeMs == Target.StartTimeMs || StartTimeMs == 0 ||
        Target.StartTimeMs == 0)
      Visit(Entry->second);
  }
}

bool TargetStatements::recordLeaving(const TargetIncarnation &Target,
                                     core::BootTime Now) {
  bool IsNew = !isLeaving(Target);
  statementOf(Target, Now).Leaving = true;
  return IsNew;
}

bool TargetStatements::recordPause(const TargetIncarnation &Target,
                                   std::chrono::milliseconds Duration,
                                   core::BootTime Now) {
  core::BootTime Until = Now + Duration;
  bool Begins = Until > Now && !pausedUntil(Target, Now);
  Statement &Said = statementOf(Target, Now);
  Said.PausedUntil = std::max(Said.PausedUntil, Until);
  return Begins;
}

void TargetStatements::mention(const TargetIncarnation &Target,
                               core::BootTime Now) {
  auto Found = Statements.find(Target);
  if (Found != Statements.end())
    Found->second.MentionedAt = Now;
}

void TargetStatements::forgetUnmentioned(core::BootTime Now) {
  std::erase_if(Statements, [&](const auto &Entry) {
    const Statement &Said = Entry.second;
    return Now - Said.MentionedAt >= Retention && Said.PausedUntil <= Now;
  });
}

bool TargetStatements::isLeaving(const TargetIncarnation &Target) const {
  bool Result = false;
  visit(Target, [&](const Statement &Said) { Result |= Said.Leaving; });
  return Result;
}

std::optional<core::BootTime>
TargetStatements::pausedUntil(const TargetIncarnation &Target,
                              core::BootTime Now) const {
  core::BootTime Until = Now;
  visit(Target, [&](const Statement &Said) {
    Until = std::max(Until, Said.PausedUntil);
  });
  if (Until == Now)
    return std::nullopt;
  return Until;
}

} // namespace rosemarylane::serving
