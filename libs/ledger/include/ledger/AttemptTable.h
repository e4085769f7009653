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

/// Whether an attempt was executed by its target.
enum class Ran { No, Unknown, Yes };

/// An HTTP answer kept for entries that request it again.
struct CachedAnswer {
  unsigned Status = 0;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
};

/// What an agent knows about an attempt.
struct AttemptOutcome {
  Ran What = Ran::Unknown;
  bool InProgress = false;
  std::shared_ptr<const CachedAnswer> Answer;
};

/// Limits of an `AttemptTable`.
struct AttemptTableLimits {
  /// How long the record of a finished attempt is kept.
  std::chrono::minutes Retention{15};
  /// An attempt that may have been sent longer ago than this is not started.
  std::chrono::seconds MaxAttemptAge{10};
  /// Maximum number of records of finished attempts.
  std::size_t MaxRecords = 100000;
  /// Maximum total size of the cached answers' bodies; the oldest answers are
  /// evicted first.
  std::size_t MaxAnswerBytes = 48 << 20;
};

/// An agent's table of the attempts that it received. Ensures that each attempt
/// is started at most once, and reports the outcome of an attempt.
///
/// `Ran::No` is reported only for an attempt that was refused, or that has not
/// arrived and whose record cannot have been evicted. A forbidden attempt never
/// starts, however late it arrives: each attempt carries the latest time of the
/// agent's clock that its sender knew (`SentAfter`), and is rejected if its
/// record may already have been evicted.
///
/// Call `start` when an attempt arrives and `finish` when it ends. Performs no
/// I/O and takes the time as an argument. Lives as long as the agent's process;
/// a restarted agent is distinguished from its predecessor by its incarnation,
/// which is checked by the caller. Not thread-safe.
class AttemptTable {
public:
  using Limits = AttemptTableLimits;

  explicit AttemptTable(Limits Bounds = {}) : Bounds(Bounds) {}

  /// Registers the attempt \p Id as in progress.
  /// @param SentAfter a time of this agent's clock before the attempt was sent.
  /// @return false if the attempt must not be started, because it has or may
  /// have been received or forbidden before.
  [[nodiscard]] bool start(const std::string &Id, core::TimePoint SentAfter,
                           core::TimePoint Now);

  /// Ends an attempt that `start` accepted.
  /// @param What whether the target executed the attempt.
  /// @param Answer the complete answer if it is to be cached, else null.
  void finish(const std::string &Id, Ran What,
              std::shared_ptr<const CachedAnswer> Answer, core::TimePoint Now);

  /// Reports the outcome of the attempt \p Id.
  /// @param SentAfter as for `start`.
  /// @param Forbid if the attempt has not arrived, prevent it from ever
  /// starting.
  /// @return the outcome; `Ran::Unknown` if the record may have been evicted.
  AttemptOutcome query(const std::string &Id, core::TimePoint SentAfter,
                       bool Forbid, core::TimePoint Now);

  /// @return the number of records.
  std::size_t size() const { return Records.size(); }
  /// @return the total size of the cached answers' bodies, in bytes.
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
  /// Finished and forbidden attempts, in the order of their end.
  std::deque<std::pair<core::TimePoint, std::string>> EndedAttempts;
  /// Attempts with a cached answer, oldest first.
  std::deque<std::string> AnsweredAttempts;
  std::size_t AnswerBytes = 0;
  /// The latest start time among evicted records. The record of an attempt that
  /// was sent later cannot have been evicted.
  std::optional<core::TimePoint> LatestEvictedStart;
};

} // namespace rosemarylane::ledger

#endif // ROSEMARYLANE_LEDGER_ATTEMPT_TABLE_H
