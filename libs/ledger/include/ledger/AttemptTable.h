#ifndef ROSEMARYLANE_LEDGER_ATTEMPT_TABLE_H
#define ROSEMARYLANE_LEDGER_ATTEMPT_TABLE_H

#include "core/Time.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rosemarylane::ledger {

/// Whether an attempt ran at its target.
enum class Ran { No, Unknown, Yes };

/// An answer kept for entries that ask again.
struct CachedAnswer {
  unsigned Status = 0;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
};

/// What an agent can say of an attempt.
struct AttemptOutcome {
  Ran What = Ran::Unknown;
  bool InProgress = false;
  std::shared_ptr<const CachedAnswer> Answer;
};

/// Bounds of an attempt table.
struct AttemptTableLimits {
  std::chrono::minutes Retention{15};
  /// An attempt that may be older than this when it arrives is not started.
  std::chrono::seconds MaxAttemptAge{10};
  std::size_t MaxRecords = 100000;
  std::size_t MaxAnswerBytes = 48 << 20;
};

/// An agent's memory of the attempts that reached it: starts each at most once,
/// and answers truly what became of one.
///
/// "No" is said only of an attempt that was refused, or that has not come and
/// cannot have been forgotten. An attempt that was forbidden never starts,
/// however late it comes: every attempt names the latest time of the agent's
/// own clock that its sender knew (`SentAfter`), and one that may be older than
/// the table's memory is not started. Pure: time comes in as an argument. Lives
/// as long as the agent's process; an agent that restarts is told from its
/// predecessor by its incarnation, outside of this class.
class AttemptTable {
public:
  using Limits = AttemptTableLimits;

  explicit AttemptTable(Limits Bounds = {}) : Bounds(Bounds) {}

  /// Registers the attempt \p Id as in progress.
  /// @param SentAfter a time of this agent's clock at which the attempt had not
  /// been sent yet.
  /// @return false if it was or may have been seen or forbidden before: it must
  /// not be started.
  [[nodiscard]] bool start(const std::string &Id, core::TimePoint SentAfter,
                           core::TimePoint Now);

  /// Ends an attempt that `start` accepted.
  /// @param Answer the whole answer, if it is to be held.
  void finish(const std::string &Id, Ran What,
              std::shared_ptr<const CachedAnswer> Answer, core::TimePoint Now);

  /// Tells what became of \p Id.
  /// @param SentAfter as given to `start`.
  /// @param Forbid keeps an attempt that has not come from ever starting.
  AttemptOutcome query(const std::string &Id, core::TimePoint SentAfter,
                       bool Forbid, core::TimePoint Now);

  std::size_t size() const { return Records.size(); }
  std::size_t answerBytes() const { return AnswerBytes; }

private:
  enum class Phase { Running, Finished, Forbidden };
  struct Record {
    Phase State = Phase::Running;
    Ran What = Ran::Unknown;
    core::TimePoint StartedAt;
    std::shared_ptr<const CachedAnswer> Answer;
  };

  bool mayHaveBeenEvicted(core::TimePoint SentAfter) const;
  void addEnded(const std::string &Id, core::TimePoint Now);
  void evictExpired(core::TimePoint Now);
  void evictAnswers();

  Limits Bounds;
  std::unordered_map<std::string, Record> Records;
  /// Ended attempts, oldest end first.
  std::deque<std::pair<core::TimePoint, std::string>> EndedAttempts;
  /// Attempts that hold an answer, oldest first.
  std::deque<std::string> AnsweredAttempts;
  std::size_t AnswerBytes = 0;
  /// The latest start among forgotten records: nothing that was sent later can
  /// have been forgotten.
  std::optional<core::TimePoint> LatestEvictedStart;
};

} // namespace rosemarylane::ledger

#endif // ROSEMARYLANE_LEDGER_ATTEMPT_TABLE_H
