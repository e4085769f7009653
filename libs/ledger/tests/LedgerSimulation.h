#ifndef ROSEMARYLANE_LEDGER_TESTS_LEDGER_SIMULATION_H
#define ROSEMARYLANE_LEDGER_TESTS_LEDGER_SIMULATION_H

#include "ledger/HistoryFence.h"
#include "ledger/PartitionCommitter.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rosemarylane::ledger {

/// The implemented protocol, and faulty ones that the simulation must detect.
enum class ProtocolVariant {
  /// As implemented.
  Correct,
  /// Values are written without comparing the store's revision.
  UnconditionalWrite,
  /// An attempt is dispatched as soon as its claim has been sent, before the
  /// reply.
  DispatchBeforeCommit,
  /// An entry that fails to commit a claim forwarded by a peer releases the
  /// key.
  PeerReleasesKey,
  /// An attempt whose agent has restarted, and can no longer be asked for the
  /// outcome, is recorded as not run.
  RestartMeansNotRun,
  /// The store is restored, and entries do not tell its histories apart.
  HistoriesNotToldApart,
  /// The store is restored, and keys are claimed before all entries have
  /// written again what they know.
  NoSettleTime,
};

/// Whether the store is restored from copies that were taken before.
///
/// With restores, each entry reaches the store within the settle time, and keys
/// are not judged once nobody knows one of their attempts: the process that
/// sent it has crashed, and the store no longer holds the claim.
enum class Restores { No, Yes };

/// The outcome of one simulation.
struct SimulationResult {
  /// The largest number of runs under one key.
  unsigned MaxRuns = 0;
  /// Number of answers that differ from that of the key's run.
  unsigned WrongAnswers = 0;
  /// Number of claims answered `Claimed`, over all keys.
  unsigned Claims = 0;
  /// Number of claims answered with a stored answer.
  unsigned Answers = 0;
  unsigned Runs = 0;
  /// Number of segments that the partition references at the end.
  std::size_t Segments = 0;
  /// Claims and records that no entry has answered some time after the faults
  /// have ended.
  std::size_t Unanswered = 0;
  unsigned Restores = 0;
  /// Keys that ran, and those of them that were not judged.
  std::size_t Keys = 0;
  std::size_t LostKeys = 0;
};

/// Simulates callers, entries, one agent and the store under faults, with the
/// order of events and the faults determined by a list of choices.
///
/// Store calls are lost before or after they take effect, or take effect late;
/// messages are lost, duplicated and reordered; entries crash and the agent
/// restarts. An entry that no event selects for a while behaves like a frozen
/// process. Create one instance per simulation and call `run` once.
class LedgerSimulation {
public:
  LedgerSimulation(std::vector<unsigned> Choices, ProtocolVariant Variant,
                   Restores OfStore = Restores::No);

  /// Runs the simulation until the choices are used up, then ends all faults.
  SimulationResult run();

private:
  static constexpr std::size_t EntryCount = 3;

  /// A store call in progress; `Reply` is set once the store has handled it.
  struct CallInProgress {
    StoreCall Call;
    std::optional<StoreReply> Reply;
  };
  struct Entry {
    explicit Entry(unsigned Number);

    PartitionCommitter Committer;
    std::optional<CallInProgress> Call;
    HistoryFence Fence;
    std::optional<StoreCall> FenceCall;
    /// Distinguishes this process from its crashed predecessors.
    unsigned ProcessIncarnation = 0;
  };
  enum class Phase { Claiming, Dispatched, Ended };
  struct SimulatedAttempt {
    Claim NewClaim;
    std::size_t Origin = 0;
    unsigned OriginIncarnation = 0;
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
  void drain();
  void step();
  void submit();
  void callStore(std::size_t E);
  StoreReply execute(const StoreCall &Call);
  void deliverReply(std::size_t E);
  void deliverMessage();
  void fallBack();
  void queryFromOrigin();
  void crash();

  void copyOrRestoreStore();
  void startFenceCall(Entry &At);
  void callFence(std::size_t E);
  void completeFence(std::size_t E, const StoreReply &Reply);
  void completeCall(std::size_t E, StoreReply Reply);
  void driveWithoutFaults(std::size_t E);
  void awaitFences();
  void passTime(core::TimePoint::duration Length);
  bool hasMerged(const Entry &At) const;
  bool storeHolds(const Claim &Sent) const;
  void noteLostKeys();
  bool tellsHistories() const {
    return OfStore == Restores::Yes &&
           Variant != ProtocolVariant::HistoriesNotToldApart;
  }

  void commitAt(std::size_t E, std::size_t Index, bool ForPeer);
  void onReply(std::size_t Index, const ClaimReply &Reply);
  void dispatch(std::size_t Index);
  void runAtAgent(std::size_t Index);
  void queryAgent(std::size_t E, const Claim &Held);
  void recordAt(std::size_t E, const Claim &Held, Outcome NewOutcome,
                std::string Answer);
  bool alive(const SimulatedAttempt &A) const {
    return Entries[A.Origin].ProcessIncarnation == A.OriginIncarnation;
  }

  std::vector<unsigned> Choices;
  std::size_t NextChoice = 0;
  ProtocolVariant Variant;

  core::TimePoint Now{};
  struct StoredValue {
    std::string Bytes;
    std::int64_t Revision = 0;
  };
  /// Stored values by segment name; the partition's value has the empty name.
  std::map<std::string, StoredValue> Stored;
  std::int64_t LastRevision = 0;
  Restores OfStore;
  std::uint64_t History = 1;
  /// The copy that the store is restored from.
  std::map<std::string, StoredValue> Copied;
  std::int64_t CopiedRevision = 0;
  std::optional<core::TimePoint> RestoredAt;
  /// Keys of which nobody knows an attempt any more.
  std::set<std::string> Lost;
  std::vector<Entry> Entries;
  unsigned EntriesStarted = 0;
  /// Swaps that were reported as `Lost` and may still take effect.
  std::vector<StoreCall> DelayedSwaps;
  std::vector<std::function<void()>> Messages;
  std::vector<SimulatedAttempt> Attempts;
  Agent AgentProcess;

  std::map<std::string, unsigned> RunsOfKey;
  std::map<std::string, std::string> AnswerOfKey;
  SimulationResult Result;
};

} // namespace rosemarylane::ledger

#endif // ROSEMARYLANE_LEDGER_TESTS_LEDGER_SIMULATION_H
