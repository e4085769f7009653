#include "ledger/PartitionCommitter.h"

#include <algorithm>
#include <cassert>

namespace rosemarylane::ledger {

void PartitionCommitter::claim(Claim NewClaim, core::TimePoint Now,
                               ClaimDone OnDone) {
  if (pendingOperations() >= Bounds.MaxPendingOperations)
    return OnDone({});
  Queue.push_back({ClaimOperation{
      std::move(NewClaim), Now + Bounds.ClaimTimeout, std::move(OnDone)}});
}

void PartitionCommitter::record(OutcomeRecord Result, RecordDone OnDone) {
  Queue.push_back({RecordOperation{std::move(Result), std::move(OnDone)}});
}

std::optional<StoreCall> PartitionCommitter::next(core::TimePoint Now,
                                                  core::WallTime WallNow) {
  expireClaims(Now);
  if (InProgress || (RetryAt && Now < *RetryAt))
    return std::nullopt;
  RetryAt.reset();
  if (SwapOutcomeUnknown)
    return startSwap();
  if (!Cached) {
    if (Queue.empty())
      return std::nullopt;
    return call({StoreCall::Kind::Read, "", 0, {}});
  }
  if (auto Call = nextSegmentCall())
    return Call;
  if (!Queue.empty() || (PendingSegment && PendingSegment->Stored))
    return commitQueue(Now, WallNow);
  return std::nullopt;
}

bool PartitionCommitter::swapAllowed(core::TimePoint Now) const {
  return BurstRefilledAt <= Now + Bounds.SwapInterval * (Bounds.SwapBurst - 1);
}

void PartitionCommitter::consumeSwapBudget(core::TimePoint Now) {
  BurstRefilledAt = std::max(BurstRefilledAt, Now) + Bounds.SwapInterval;
}

/// @return the next read, write or removal of a segment, if any is needed.
std::optional<StoreCall> PartitionCommitter::nextSegmentCall() {
  if (!Queue.empty())
    for (const SegmentReference &S : Cached->segments())
      if (!SegmentCache.contains(S.Name))
        return call({StoreCall::Kind::Read, S.Name, 0, {}});
  if (!PendingSegment && Cached->needsSealing(Bounds.Values))
    createSegment();
  if (PendingSegment && !PendingSegment->Stored)
    return call({StoreCall::Kind::CompareAndSwap, PendingSegment->Name, 0,
                 PendingSegment->Claims->format()});
  if (Queue.empty() && !OrphanedSegments.empty())
    return call({StoreCall::Kind::Erase, OrphanedSegments.back(), 0, {}});
  return std::nullopt;
}

void PartitionCommitter::createSegment() {
  std::vector<Claim> Executed = Cached->sealableClaims();
  // A value that is large mainly because of claims in progress is not sealed.
  if (Executed.size() * 2 < Cached->size())
    return;
  PendingSegment = UnreferencedSegment{
      SegmentPrefix + "-" + std::to_string(++SegmentsCreated),
      std::make_shared<Segment>(std::move(Executed)), false};
}

StoreCall PartitionCommitter::call(StoreCall Call) {
  InProgress = Call;
  return Call;
}

void PartitionCommitter::complete(StoreReply Reply, core::TimePoint Now) {
  assert(InProgress);
  bool IsSegmentCall = !InProgress->Segment.empty();
  bool Failed = isFailure(Reply);
  if (IsSegmentCall)
    completeSegmentCall(Reply);
  else
    completePartitionCall(Reply);
  if (Failed || !Cached)
    RetryAt = Now + Bounds.RetryInterval;
}

bool PartitionCommitter::isFailure(const StoreReply &Reply) {
  return Reply.What == StoreReply::Kind::Lost ||
         Reply.What == StoreReply::Kind::Unavailable;
}

void PartitionCommitter::completePartitionCall(StoreReply &Reply) {
  bool WasSwap = InProgress->What == StoreCall::Kind::CompareAndSwap;
  InProgress.reset();
  if (Reply.What == StoreReply::Kind::Lost && WasSwap)
    SwapOutcomeUnknown = true;
  if (isFailure(Reply)) {
    if (!SwapOutcomeUnknown)
      requeueBatch();
    return;
  }
  SwapOutcomeUnknown = false;
  std::vector<Operation> Done;
  if (Reply.What == StoreReply::Kind::Swapped) {
    Cached = std::move(NextPartition);
    Revision = Reply.Revision;
    Done.swap(Batch);
    OrphanedSegments.insert(OrphanedSegments.end(), ExpiredSegments.begin(),
                            ExpiredSegments.end());
  } else {
    updateCache(Reply);
    requeueBatch();
    for (Operation &Op : Queue)
      Op.CacheIsCurrent = true;
  }
  updateSegments();
  for (Operation &Op : Done)
    answer(Op);
}

void PartitionCommitter::completeSegmentCall(StoreReply &Reply) {
  StoreCall Call = std::move(*InProgress);
  InProgress.reset();
  if (isFailure(Reply)) {
    // Removals are not retried: a segment that stays in the store is unused and
    // does no harm.
    if (Call.What == StoreCall::Kind::Erase)
      OrphanedSegments.pop_back();
    return;
  }
  switch (Call.What) {
  case StoreCall::Kind::Read: {
    auto Parsed = Segment::parse(Reply.Value);
    // A missing segment was erased after a newer value of the partition had
    // dropped the reference to it. Discarding the cached value makes `next`
    // read the newer one. A malformed segment is handled in the same way:
    // operations on the partition wait until the segment can be read or is no
    // longer referenced.
    if (Parsed)
      SegmentCache[Call.Segment] =
          std::make_shared<Segment>(std::move(*Parsed));
    else
      Cached.reset();
    return;
  }
  case StoreCall::Kind::CompareAndSwap:
    // The name is unique, so a segment found under it was written by an earlier
    // swap whose reply was lost.
    PendingSegment->Stored = true;
    updateSegments();
    return;
  case StoreCall::Kind::Erase:
    OrphanedSegments.pop_back();
    return;
  }
}

/// Removes cached segments that the cached value no longer references, and
/// determines whether the pending segment has been referenced or is orphaned.
void PartitionCommitter::updateSegments() {
  ExpiredSegments.clear();
  if (!Cached)
    return;
  std::erase_if(SegmentCache, [this](const auto &Entry) {
    return !Cached->hasSegment(Entry.first);
  });
  if (!PendingSegment || !PendingSegment->Stored)
    return;
  if (Cached->hasSegment(PendingSegment->Name)) {
    SegmentCache[PendingSegment->Name] = PendingSegment->Claims;
    PendingSegment.reset();
    return;
  }
  // Orphaned if another process has moved all its claims to its own segment.
  Partition Copy = *Cached;
  if (!Copy.moveToSegment(*PendingSegment->Claims, PendingSegment->Name)) {
    OrphanedSegments.push_back(PendingSegment->Name);
    PendingSegment.reset();
  }
}

void PartitionCommitter::expireClaims(core::TimePoint Now) {
  auto Expired = [&](const Operation &Op) {
    auto *C = std::get_if<ClaimOperation>(&Op.Request);
    return C && C->OnDone && Now >= C->Deadline;
  };
  std::vector<std::pair<ClaimDone, ClaimReply>> Replies;
  for (Operation &Op : Batch) {
    if (!Expired(Op))
      continue;
    auto &C = std::get<ClaimOperation>(Op.Request);
    ClaimReply Reply;
    Reply.MayBeStored = true;
    Replies.emplace_back(std::move(C.OnDone), Reply);
    C.OnDone = nullptr;
  }
  std::erase_if(Queue, [&](Operation &Op) {
    if (!Expired(Op))
      return false;
    auto &C = std::get<ClaimOperation>(Op.Request);
    Replies.emplace_back(std::move(C.OnDone), lastKnownReply(C.NewClaim));
    return true;
  });
  for (const auto &[OnDone, Reply] : Replies)
    OnDone(Reply);
}

/// Computes the reply to a claim that could not be checked with the store
/// before its deadline, from the last known holder of its key.
ClaimReply PartitionCommitter::lastKnownReply(const Claim &NewClaim) const {
  if (!Cached)
    return {};
  if (const Claim *Executed = findInSegments(*Cached, NewClaim.Key))
    return replyTo(NewClaim, *Executed);
  if (!Cached->find(NewClaim.Key))
    return {};
  Partition Copy = *Cached;
  ClaimReply Reply = Copy.claim(NewClaim, Bounds.Values);
  if (Reply.What != ClaimReply::Kind::Claimed)
    return Reply;
  Reply = {};
  Reply.MayBeStored = true;
  return Reply;
}

/// Applies all queued operations to a copy of the cached value and answers
/// those that need no store call. For the others, starts a swap if the value
/// changes, or else a read.
std::optional<StoreCall>
PartitionCommitter::commitQueue(core::TimePoint Now, core::WallTime WallNow) {
  NextPartition = *Cached;
  ExpiredSegments = NextPartition.trim(WallNow, Bounds.Values);
  bool MovesClaims = PendingSegment && PendingSegment->Stored &&
                     NextPartition.moveToSegment(*PendingSegment->Claims,
                                                 PendingSegment->Name);
  for (Operation &Op : Queue)
    apply(Op, NextPartition);

  std::vector<Operation> Final;
  std::deque<Operation> Unresolved;
  for (Operation &Op : Queue)
    if (isFinal(Op))
      Final.push_back(std::move(Op));
    else
      Unresolved.push_back(std::move(Op));
  Queue.clear();

  std::optional<StoreCall> Call;
  bool Changes =
      MovesClaims ||
      std::any_of(Unresolved.begin(), Unresolved.end(),
                  [](const Operation &Op) {
                    auto *Reply = std::get_if<ClaimReply>(&Op.TentativeReply);
                    return Reply ? Reply->What == ClaimReply::Kind::Claimed
                                 : std::get<RecordReply>(Op.TentativeReply) ==
                                       RecordReply::Recorded;
                  });
  if (Changes && !swapAllowed(Now)) {
    Queue = std::move(Unresolved);
  } else if (Changes) {
    consumeSwapBudget(Now);
    Batch.assign(std::make_move_iterator(Unresolved.begin()),
                 std::make_move_iterator(Unresolved.end()));
    NextValue = NextPartition.format();
    Call = startSwap();
  } else if (!Unresolved.empty()) {
    Queue = std::move(Unresolved);
    Call = call({StoreCall::Kind::Read, "", 0, {}});
  }
  for (Operation &Op : Final)
    answer(Op);
  return Call;
}

void PartitionCommitter::apply(Operation &Op, Partition &To) const {
  if (auto *C = std::get_if<ClaimOperation>(&Op.Request)) {
    const Claim *Executed = findInSegments(To, C->NewClaim.Key);
    Op.TentativeReply = Executed ? replyTo(C->NewClaim, *Executed)
                                 : To.claim(C->NewClaim, Bounds.Values);
    return;
  }
  const OutcomeRecord &Result = std::get<RecordOperation>(Op.Request).Result;
  const Claim *Executed = findInSegments(To, Result.Key);
  if (Executed && Executed->Holder.Id == Result.AttemptId)
    Op.TentativeReply = Result.What == Outcome::Answered
                            ? RecordReply::Recorded
                            : RecordReply::Replaced;
  else
    Op.TentativeReply = To.record(Result, Bounds.Values);
}

/// @return the claim of \p Key in one of the segments that \p In references, or
/// null.
const Claim *PartitionCommitter::findInSegments(const Partition &In,
                                                const ClaimKey &Key) const {
  for (const SegmentReference &S : In.segments()) {
    auto Entry = SegmentCache.find(S.Name);
    const Segment *Claims = Entry != SegmentCache.end() ? Entry->second.get()
                            : PendingSegment && PendingSegment->Name == S.Name
                                ? PendingSegment->Claims.get()
                                : nullptr;
    const Claim *Found = Claims ? Claims->find(Key) : nullptr;
    if (Found)
      return Found;
  }
  return nullptr;
}

/// @return whether the reply can be given without another store call. Executed
/// claims never change, so a reply that rests on one is final. Any other reply
/// requires a cached value that was received after the operation was queued. A
/// reply that reports an effect, `Claimed` or `Recorded`, also requires that
/// the cached value already contains this effect.
bool PartitionCommitter::isFinal(const Operation &Op) const {
  if (auto *Reply = std::get_if<ClaimReply>(&Op.TentativeReply))
    switch (Reply->What) {
    case ClaimReply::Kind::Answered:
    case ClaimReply::Kind::AnswerDropped:
      return true;
    case ClaimReply::Kind::Claimed: {
      // The claim is already in the store: an earlier swap took effect.
      const Attempt &Own = std::get<ClaimOperation>(Op.Request).NewClaim.Holder;
      const Claim *Stored = Cached->find(Reply->Found.Key);
      return Op.CacheIsCurrent && Stored && Stored->Holder.Id == Own.Id &&
             Stored->State == ClaimState::Held;
    }
    default:
      return Op.CacheIsCurrent;
    }
  const OutcomeRecord &Result = std::get<RecordOperation>(Op.Request).Result;
  if (std::get<RecordReply>(Op.TentativeReply) == RecordReply::Replaced)
    return Op.CacheIsCurrent;
  if (findInSegments(*Cached, Result.Key))
    return true;
  const Claim *Stored = Cached->find(Result.Key);
  const Claim *After = NextPartition.find(Result.Key);
  return Op.CacheIsCurrent && Stored && After && *Stored == *After;
}

void PartitionCommitter::updateCache(StoreReply &Reply) {
  auto Parsed = Partition::parse(Reply.Value);
  if (!Parsed) {
    Cached.reset();
    return;
  }
  Cached = std::move(*Parsed);
  Revision = Reply.Revision;
}

void PartitionCommitter::requeueBatch() {
  // Claims that were answered at their deadline are not retried.
  std::erase_if(Batch, [](const Operation &Op) {
    auto *C = std::get_if<ClaimOperation>(&Op.Request);
    return C && !C->OnDone;
  });
  Queue.insert(Queue.begin(), std::make_move_iterator(Batch.begin()),
               std::make_move_iterator(Batch.end()));
  Batch.clear();
}

void PartitionCommitter::answer(Operation &Op) {
  if (auto *C = std::get_if<ClaimOperation>(&Op.Request)) {
    if (C->OnDone)
      C->OnDone(std::get<ClaimReply>(Op.TentativeReply));
    return;
  }
  std::get<RecordOperation>(Op.Request)
      .OnDone(std::get<RecordReply>(Op.TentativeReply));
}

StoreCall PartitionCommitter::startSwap() {
  return call({StoreCall::Kind::CompareAndSwap, "", Revision, NextValue});
}

} // namespace rosemarylane::ledger
