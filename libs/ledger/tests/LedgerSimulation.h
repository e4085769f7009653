#ifndef ROSEMARYLANE_LEDGER_TESTS_LEDGER_SIMULATION_H
#define ROSEMARYLANE_LEDGER_TESTS_LEDGER_SIMULATION_H

#include "ledger/PartitionCommitter.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rosemarylane::ledger {

/// Ways of doing it that do not hold, to see that the histories find them out.
enum class ProtocolVariant {
  /// As built.
  Correct,
  /// Values are written whatever stands in the store.
  UnconditionalWrite,
  /// An attempt is dispatched when its claim has been sent off.
  DispatchBeforeCommit,
  /// An entry that gives up a claim which it commits for another releases it.
  ForwardedToEntryReleases,
  /// A holder that does not reply is taken for not run.
  NoReplyMeansNotRun,
};

/// What came of one history.
struct SimulationResult {
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
  std::size_t Unanswered = 0;
};

/// Plays one history of callers, entries, one agent and the store, with the
/// order and the faults taken from a list of choices.
///
/// Calls on the store are lost before or after they take effect, and take
/// effect late; messages are lost, repeated and reordered; an entry that no
/// event picks is frozen; entries crash and the agent restarts.
class LedgerSimulation {
public:
  LedgerSimulation(std::vector<unsigned> Choices, ProtocolVariant Variant);

  SimulationResult run();

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
    unsigned ProcessIncarnation = 0;
  };
  enum class Phase { Claiming, Dispatched, Ended };
  struct SimulatedAttempt {
    Claim NewClaim;
    std::size_t Origin = 0;
    unsigned OriginIncarnation = 0;
    bool Forwarded = false;
    bool CommittedLocally = false;
    Phase State = Phase::Claiming;
  };
  struct Agent {
    std::uint64_t Incarnation = 1;
    std::set<std::string> Seen;
    std::map<std::string, std::string> Answers;
  };

  unsigned choose(unsigned Bound);
  void drain();
  void step();
  void submit();
  void callStore(std::size_t E);
  StoreReply execute(const StoreCall &Call);
  void deliverReply(std::size_t E);
  void deliverMessage();
  void commitForwardedLocally();
  void queryFromOrigin();
  void crash();

  void commitAt(std::size_t E, std::size_t AttemptIndex, bool ForPeer);
  void onReply(std::size_t AttemptIndex, const ClaimReply &Reply);
  void dispatch(std::size_t AttemptIndex);
  void runAtAgent(std::size_t AttemptIndex);
  void queryAgent(std::size_t E, const Claim &Held);
  void recordAt(std::size_t E, const Claim &Held, Outcome What,
                std::string Answer);
  bool alive(const SimulatedAttempt &T) const {
    return Entries[T.Origin].ProcessIncarnation == T.OriginIncarnation;
  }

  std::vector<unsigned> Choices;
  std::size_t NextChoice = 0;
  ProtocolVariant Variant;

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
  std::vector<StoreCall> DelayedSwaps;
  std::vector<std::function<void()>> Messages;
  std::vector<SimulatedAttempt> Attempts;
  Agent Target;

  std::map<std::string, unsigned> RunsOfKey;
  std::map<std::string, std::string> AnswerOfKey;
  SimulationResult Result;
};

} // namespace rosemarylane::ledger

#endif // ROSEMARYLANE_LEDGER_TESTS_LEDGER_SIMULATION_H
