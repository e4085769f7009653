#ifndef ROSEMARYLANE_LEDGER_TESTS_LEDGER_HISTORY_H
#define ROSEMARYLANE_LEDGER_TESTS_LEDGER_HISTORY_H

#include "ledger/PartitionCommitter.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rosemarylane::ledger {

/// Ways of doing it that do not hold, to see that the histories find them out.
enum class LedgerVariant {
  /// As built.
  Correct,
  /// Values are written whatever stands in the store.
  BlindWrite,
  /// An attempt is dispatched when its claim has been sent off.
  DispatchBeforeAnswer,
  /// An entry that gives up a claim which it commits for another releases it.
  HelperReleases,
  /// A holder that does not reply is taken for not run.
  SilenceMeansNotRun,
};

/// What came of one history.
struct HistoryResult {
  /// The largest number of runs under one key.
  unsigned MaxRuns = 0;
  /// Answers that were not those of the key's run.
  unsigned WrongAnswers = 0;
  /// Claims told to be free to run, over all keys.
  unsigned Claims = 0;
  unsigned Answers = 0;
  unsigned Runs = 0;
  /// Segments that a value names at the end.
  std::size_t Segments = 0;
  /// Claims and records that no entry has answered some time after the faults
  /// have ended.
  std::size_t Stuck = 0;
};

/// Plays one history of callers, entries, one agent and the store, with the
/// order and the faults taken from a list of choices.
///
/// Calls on the store are lost before or after they take effect, and take
/// effect late; messages are lost, repeated and reordered; an entry that no
/// event picks is frozen; entries crash and the agent restarts.
class LedgerHistory {
public:
  LedgerHistory(std::vector<unsigned> Choices, LedgerVariant Variant);

  HistoryResult run();

private:
  static constexpr std::size_t EntryCount = 3;

  /// A call on the store on its way.
  struct CallInProgress {
    StoreCall Call;
    std::optional<StoreReply> Reply;
  };
  struct Entry {
    explicit Entry(unsigned Number);

    PartitionCommitter Committer;
    std::optional<CallInProgress> Call;
    /// Tells work of a crashed predecessor from that of this process.
    unsigned Life = 0;
  };
  enum class Phase { Claiming, Dispatched, Ended };
  struct Try {
    Claim Wanted;
    std::size_t Origin = 0;
    unsigned OriginLife = 0;
    bool Forwarded = false;
    bool FellBack = false;
    Phase State = Phase::Claiming;
  };
  struct Agent {
    std::uint64_t Incarnation = 1;
    std::set<std::string> Seen;
    std::map<std::string, std::string> Answers;
  };

  unsigned choose(unsigned Bound);
  void settle();
  void step();
  void submit();
  void callStore(std::size_t E);
  StoreReply execute(const StoreCall &Call);
  void deliverReply(std::size_t E);
  void deliverMessage();
  void fallBack();
  void originAsks();
  void crash();

  void commitAt(std::size_t E, std::size_t TryIndex, bool ForAnother);
  void onReply(std::size_t TryIndex, const ClaimReply &Reply);
  void dispatch(std::size_t TryIndex);
  void arrive(std::size_t TryIndex);
  void askAgent(std::size_t E, const Claim &Held);
  void recordAt(std::size_t E, const Claim &Held, Outcome What,
                std::string Answer);
  bool alive(const Try &T) const {
    return Entries[T.Origin].Life == T.OriginLife;
  }

  std::vector<unsigned> Choices;
  std::size_t NextChoice = 0;
  LedgerVariant Variant;

  core::TimePoint Now{};
  struct StoredValue {
    std::string Bytes;
    std::int64_t Revision = 0;
  };
  /// By segment; the partition's own value under the empty name.
  std::map<std::string, StoredValue> Stored;
  std::int64_t LastRevision = 0;
  std::vector<Entry> Entries;
  unsigned EntriesStarted = 0;
  /// Swaps whose callers were told that the answer is lost, and which may still
  /// take effect.
  std::vector<StoreCall> LateSwaps;
  std::vector<std::function<void()>> Messages;
  std::vector<Try> Tries;
  Agent Target;

  std::map<std::string, unsigned> RunsOfKey;
  std::map<std::string, std::string> AnswerOfKey;
  HistoryResult Result;
};

} // namespace rosemarylane::ledger

#endif // ROSEMARYLANE_LEDGER_TESTS_LEDGER_HISTORY_H
