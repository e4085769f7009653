#ifndef ROSEMARYLANE_LEDGER_PARTITION_COMMITTER_H
#define ROSEMARYLANE_LEDGER_PARTITION_COMMITTER_H

#include "ledger/Claim.h"
#include "ledger/Partition.h"
#include "ledger/StoreCall.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace rosemarylane::ledger {

/// Limits of a `PartitionCommitter`.
struct CommitterLimits {
  /// Limits of the partition's stored value.
  PartitionLimits Values;
  /// A claim for which the store has confirmed no reply within this time is
  /// answered from the cached value, or `Unavailable`.
  std::chrono::milliseconds ClaimTimeout{1500};
  /// Delay before the next call after a failed one.
  std::chrono::milliseconds RetryInterval{50};
  /// Minimum interval between swaps once the burst is used up; operations that
  /// arrive in between share the next swap. Keeps the write rate, summed over
  /// all partitions, within what the platform's store accepts. Each committer
  /// counts only its own swaps.
  std::chrono::milliseconds SwapInterval{50};
  /// Number of swaps that may be made without delay.
  unsigned SwapBurst = 20;
  /// When this many operations are pending, further claims are answered
  /// `Unavailable` immediately.
  std::size_t MaxPendingOperations = 4096;
};

/// Commits the claims and records of one partition to the store, batching many
/// in one compare-and-swap (group commit).
///
/// Performs no I/O: the owner obtains the next store call from `next`, makes
/// it, and passes the reply to `complete`. One call is in progress at a time;
/// operations that arrive meanwhile are batched in the next one. Lives as long
/// as the entry process; not thread-safe. Callbacks run in the thread that
/// calls a member function, before it returns.
///
/// A claim is answered `Claimed` only after the store has confirmed the value
/// that contains it. A swap whose reply was lost is repeated unchanged: the
/// store then either accepts it or returns the value that replaced it.
///
/// After a restore of the store, `setHistory` tells of another history. What
/// the committer knows of claims is then written again before anything else:
/// the value in the store may be older. Until the history is settled, no key is
/// claimed or released.
class PartitionCommitter {
public:
  using Limits = CommitterLimits;
  using ClaimDone = std::function<void(const ClaimReply &)>;
  using RecordDone = std::function<void(RecordReply)>;

  /// @param SegmentPrefix a random prefix that makes segment names unique; must
  /// be new for each committer.
  explicit PartitionCommitter(std::string SegmentPrefix, Limits Bounds = {})
      : Bounds(Bounds), SegmentPrefix(std::move(SegmentPrefix)) {}

  /// Queues a claim.
  /// @param OnDone called with the reply, at the latest by the first `next`
  /// after the claim's deadline.
  void claim(Claim NewClaim, core::TimePoint Now, ClaimDone OnDone);

  /// Queues a record, which is retried until it is written or replaced.
  /// @param OnDone called with the reply.
  void record(OutcomeRecord Result, RecordDone OnDone);

  /// Makes no call until `setHistory` has been called. Without either,
  /// histories are not told apart.
  void awaitHistory() { HistoryInDoubt = true; }

  /// Tells the history of the store to write in, from a `HistoryFence`.
  void setHistory(const HistoryState &Current);

  /// @return whether a reply did not fit the history that `setHistory` has
  /// told. No calls are made then until it is called again.
  bool historyInDoubt() const { return HistoryInDoubt; }

  /// Remembers a claim that an attempt of this process holds, although another
  /// process has committed it, so that it can be written again after a restore.
  void remember(const Claim &Held);

  /// Remembers the recorded outcome of an attempt passed to `remember`.
  void rememberOutcome(const OutcomeRecord &Result);

  /// @return whether claims of the history before are still to be written.
  bool hasUnmergedClaims() const { return !Unmerged.empty(); }

  /// Determines the next store call. Must be called after each claim, record
  /// and reply, and every few milliseconds.
  /// @param WallNow the wall-clock time, which decides which claims have
  /// expired.
  /// @return the store call to make now, if any.
  std::optional<StoreCall> next(core::TimePoint Now, core::WallTime WallNow);

  /// Handles the reply to the call that `next` returned last.
  void complete(StoreReply Reply, core::TimePoint Now);

  /// @return the number of claims and records not yet answered.
  std::size_t pendingOperations() const { return Queue.size() + Batch.size(); }

private:
  struct ClaimOperation {
    Claim NewClaim;
    core::TimePoint Deadline;
    /// Empty once the claim has been answered at its deadline.
    ClaimDone OnDone;
  };
  struct RecordOperation {
    OutcomeRecord Result;
    RecordDone OnDone;
  };
  struct Operation {
    std::variant<ClaimOperation, RecordOperation> Request;
    /// Whether the cached value was received from the store after the operation
    /// was queued.
    bool CacheIsCurrent = false;
    /// The reply that `apply` computed. It may be given only once `isFinal`
    /// holds, or after the swap that contains the operation has taken effect.
    std::variant<std::monostate, ClaimReply, RecordReply> TentativeReply;
  };

  /// A new segment that the partition's value does not reference yet.
  struct UnreferencedSegment {
    std::string Name;
    std::shared_ptr<const Segment> Claims;
    bool Stored = false;
  };

  void beginHistory();
  void addUnmerged(const Claim &Known);
  void addMissingSegment(const std::string &Name);
  bool isOfOtherHistory(const StoreReply &Reply) const;
  void abandonCall(core::TimePoint Now);
  std::optional<StoreCall> mergeClaims(core::WallTime WallNow);
  std::optional<StoreCall> nextSegmentRead();
  std::optional<StoreCall> nextSegmentCall();
  StoreCall call(StoreCall Call);
  void completePartitionCall(StoreReply &Reply);
  void completeSegmentCall(StoreReply &Reply);
  static bool isFailure(const StoreReply &Reply);
  void createSegment();
  void updateSegments();
  const Claim *findInSegments(const Partition &In, const ClaimKey &Key) const;
  void expireClaims(core::TimePoint Now);
  ClaimReply lastKnownReply(const Claim &NewClaim) const;
  std::optional<StoreCall> commitQueue(core::TimePoint Now,
                                       core::WallTime WallNow);
  bool swapAllowed(core::TimePoint Now) const;
  void consumeSwapBudget(core::TimePoint Now);
  void apply(Operation &Op, Partition &To) const;
  bool isFinal(const Operation &Op) const;
  void updateCache(StoreReply &Reply);
  void requeueBatch();
  static void answer(Operation &Op);
  StoreCall startSwap();

  Limits Bounds;
  std::deque<Operation> Queue;

  /// The partition's value last seen in the store, and its revision.
  std::optional<Partition> Cached;
  std::int64_t Revision = 0;

  /// The history that the cached value belongs to.
  HistoryState Store;
  bool HistoryInDoubt = false;
  /// Claims of the history before, to be written again.
  std::map<ClaimKey, Claim> Unmerged;
  /// Whether the swap in progress, or to be repeated, writes `Unmerged`.
  bool Merging = false;
  /// Claims of this process's attempts, without answers, and their keys in the
  /// order of their time.
  std::map<ClaimKey, Claim> Remembered;
  std::deque<std::pair<core::WallTime, ClaimKey>> RememberedByTime;

  /// The operations and the value of the swap that is in progress or to be
  /// repeated.
  std::vector<Operation> Batch;
  Partition NextPartition;
  std::string NextValue;
  /// Whether the swap may have taken effect without a confirmation.
  bool SwapOutcomeUnknown = false;

  /// Those segments of the cached value that have been read, by name.
  std::map<std::string, std::shared_ptr<const Segment>> SegmentCache;
  /// Segments that the cached value references and the store lacks, found after
  /// a restore.
  std::set<std::string> MissingSegments;
  std::optional<UnreferencedSegment> PendingSegment;
  std::string SegmentPrefix;
  std::uint64_t SegmentsCreated = 0;
  /// Segments that the next value no longer references.
  std::vector<std::string> ExpiredSegments;
  /// Segments that no value references any more, to be erased.
  std::vector<std::string> OrphanedSegments;

  /// The call in progress.
  std::optional<StoreCall> InProgress;
  std::optional<core::TimePoint> RetryAt;
  /// When the full burst is available again: each swap adds an interval.
  core::TimePoint BurstRefilledAt;
};

} // namespace rosemarylane::ledger

#endif // ROSEMARYLANE_LEDGER_PARTITION_COMMITTER_H
