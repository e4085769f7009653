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

/// Whether an attempt was executed by its target, as known at the time of the
/// report.
enum class Ran { No, Unknown, Yes };

/// An HTTP answer kept for entry processes that request it again.
struct CachedAnswer {
  unsigned Status = 0;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
};

/// The state of an attempt, as reported by its agent.
struct AttemptOutcome {
  /// Whether the target executed the attempt.
  Ran What = Ran::Unknown;
  /// Whether the attempt has started and not ended yet; `What` is then
  /// `Unknown`.
  bool InProgress = false;
  /// The answer if it is cached, else null.
  std::shared_ptr<const CachedAnswer> Answer;
};

/// Limits of an `AttemptTable`.
struct AttemptTableLimits {
  /// How long the record of an attempt is kept after the attempt was finished
  /// or forbidden.
  std::chrono::minutes Retention{15};
  /// An attempt that may have been sent longer ago than this is not started.
  std::chrono::seconds MaxAttemptAge{10};
  /// Maximum number of records of finished and forbidden attempts; the oldest
  /// are evicted first.
  std::size_t MaxRecords = 100000;
  /// Maximum total size of the cached answers' bodies; the oldest answers are
  /// evicted first.
  std::size_t MaxTotalAnswerBytes = 48 << 20;
};

/// An agent's table of the attempts that it received. Ensures that each attempt
/// is started at most once, and reports the outcome of an attempt.
///
/// `Ran::No` is reported only for an attempt that ended without being executed,
/// or that has not arrived and whose record cannot have been evicted. An
/// attempt that has not arrived may still be on its way. A query can forbid it,
/// so that `Ran::No` stays true: the table then records that the attempt must
/// be rejected on arrival. This holds however late it arrives: each attempt
/// carries the latest time of the agent's clock that its sender knew
/// (`SentAfter`), and is rejected if its record may already have been evicted.
///
/// Call `start` when an attempt arrives and `finish` when it ends. Performs no
/// I/O and takes the time as an argument. Lives as long as the agent's process;
/// a restarted agent is distinguished from its predecessor by its incarnation,
/// which the calling code checks before it queries the table. Not thread-safe.
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
  /// @param Executed whether the target executed the attempt.
  /// @param Answer the complete answer if it is to be cached, else null.
  void finish(const std::string &Id, Ran Executed,
              std::shared_ptr<const CachedAnswer> Answer, core::TimePoint Now);

  /// Reports the outcome of the attempt \p Id.
  /// @param SentAfter as for `start`.
  /// @param Forbid if the attempt has not arrived, prevent it from ever
  /// starting. Otherwise `Ran::No` means only that it has not started yet.
  /// @return the outcome; `Ran::Unknown` if the attempt is in progress or its
  /// record may have been evicted.
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
    Ran Executed = Ran::Unknown;
    /// When the attempt was started or, if it never arrived, forbidden.
    core::TimePoint RegisteredAt;
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
  /// The latest `RegisteredAt` among evicted records. The record of an attempt
  /// that was sent later cannot have been evicted.
  std::optional<core::TimePoint> LatestEvictedRegistration;
};

} // namespace rosemarylane::ledger

#endif // ROSEMARYLANE_LEDGER_ATTEMPT_TABLE_H
