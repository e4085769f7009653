#ifndef ROSEMARYLANE_LEDGER_PARTITION_COMMITTER_H
#define ROSEMARYLANE_LEDGER_PARTITION_COMMITTER_H

#include "ledger/Claim.h"
#include "ledger/Partition.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rosemarylane::ledger {

/// A call on the platform's service that a committer wants made.
struct StoreCall {
  enum class Kind { Read, CompareAndSwap, Erase };
  Kind What = Kind::Read;
  /// The segment that is meant; empty for the partition's own value.
  std::string Segment;
  /// Only for a swap: the revision expected, and the new value.
  std::int64_t Expected = 0;
  std::string Value;
};

/// What came of a store call.
struct StoreReply {
  enum class Kind {
    /// A read, or a swap that found another revision: `Value` and `Revision`
    /// are the store's.
    Found,
    /// The swap took effect under `Revision`.
    Swapped,
    /// The call did not take effect.
    Unavailable,
    /// The answer was lost: a swap may have taken effect.
    Lost,
    /// The key of a segment is gone.
    Erased,
  };
  Kind What = Kind::Unavailable;
  std::string Value;
  std::int64_t Revision = 0;
};

/// Times of a committer.
struct CommitterLimits {
  PartitionLimits Values;
  /// A claim that is not certain after this long is answered `Unavailable`.
  std::chrono::milliseconds ClaimDeadline{1500};
  std::chrono::milliseconds RetryInterval{50};
  /// Swaps are spaced by this much once the burst is used up: what comes
  /// meanwhile shares the next. Times the number of partitions, this keeps to
  /// what the platform's service takes.
  std::chrono::milliseconds SwapInterval{50};
  /// Swaps that may follow each other at once.
  unsigned SwapBurst = 20;
  /// Claims waiting above this number are answered `Unavailable` at once.
  std::size_t MaxPendingOperations = 4096;
};

/// Commits claims and records of one partition, many in one compare-and-swap.
///
/// Pure: the owner asks for the next store call with `next`, makes it, and
/// hands the reply to `complete`; one call is in progress at a time. What waits
/// meanwhile goes into the next one.
///
/// `Claimed` is told only after the store has answered that the value with the
/// claim is in force. A swap whose answer was lost is made again unchanged: the
/// store then either takes it, or shows the value that came after.
class PartitionCommitter {
public:
  using Limits = CommitterLimits;
  using ClaimDone = std::function<void(const ClaimReply &)>;
  using RecordDone = std::function<void(RecordReply)>;

  /// @param SegmentPrefix makes names of segments unique: random, and new for
  /// each committer.
  explicit PartitionCommitter(std::string SegmentPrefix, Limits Bounds = {})
      : Bounds(Bounds), SegmentPrefix(std::move(SegmentPrefix)) {}

  void claim(Claim NewClaim, core::TimePoint Now, ClaimDone OnDone);

  /// The record is tried until it is written or replaced.
  void record(Record Result, RecordDone OnDone);

  /// Asked after each claim, record and reply, and every few milliseconds.
  /// @param Wall the time by which old claims are forgotten.
  /// @return the store call to make now, if any.
  std::optional<StoreCall> next(core::TimePoint Now, core::WallTime Wall);

  /// Takes the reply to the call that `next` gave last.
  void complete(StoreReply Reply, core::TimePoint Now);

  /// @return claims and records not yet answered.
  std::size_t pendingOperations() const { return Queue.size() + Batch.size(); }

private:
  struct ClaimOperation {
    Claim NewClaim;
    core::TimePoint Deadline;
    /// Empty once the claim has been given up.
    ClaimDone OnDone;
  };
  struct RecordOperation {
    Record Result;
    RecordDone OnDone;
  };
  struct Operation {
    std::variant<ClaimOperation, RecordOperation> What;
    /// Whether the cached value is as new as the operation.
    bool CacheIsCurrent = false;
    std::variant<std::monostate, ClaimReply, RecordReply> Reply;
  };

  /// A segment that is not in the partition's value yet.
  struct UnreferencedSegment {
    std::string Name;
    std::shared_ptr<const Segment> Claims;
    bool Stored = false;
  };

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
                                       core::WallTime Wall);
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

  /// The value last seen in the store.
  std::optional<Partition> Cached;
  std::int64_t Revision = 0;

  /// The swap in progress or to be repeated: its operations and its value.
  std::vector<Operation> Batch;
  Partition NextPartition;
  std::string NextValue;
  /// Whether the swap may have taken effect although no answer said so.
  bool SwapOutcomeUnknown = false;

  /// The segments of the cached value, as far as they have been read.
  std::map<std::string, std::shared_ptr<const Segment>> SegmentCache;
  std::optional<UnreferencedSegment> PendingSegment;
  std::string SegmentPrefix;
  std::uint64_t SegmentsCreated = 0;
  /// Segments that the next value no longer names.
  std::vector<std::string> ExpiredSegments;
  /// Segments that no value names any more.
  std::vector<std::string> OrphanedSegments;

  /// The call in progress.
  std::optional<StoreCall> InProgress;
  std::optional<core::TimePoint> RetryAt;
  /// When the burst is whole again: each swap adds an interval.
  core::TimePoint BurstRefilledAt;
};

} // namespace rosemarylane::ledger

#endif // ROSEMARYLANE_LEDGER_PARTITION_COMMITTER_H
