#include "ledger/PartitionCommitter.h"

#include <algorithm>
#include <cassert>

namespace rosemarylane::ledger {

void PartitionCommitter::claim(Claim NewClaim, core::TimePoint Now,
                               ClaimDone OnDone) {
  if (pendingOperations() >= Bounds.MaxPendingOperations)
    return OnDone({});
  Queue.push_back({ClaimOperation{
      std::move(NewClaim), Now + Bounds.ClaimDeadline, std::move(OnDone)}});
}

void PartitionCommitter::record(Record Result, RecordDone OnDone) {
  Queue.push_back({RecordOperation{std::move(Result), std::move(OnDone)}});
}

std::optional<StoreCall> PartitionCommitter::next(core::TimePoint Now,
                                                  core::WallTime Wall) {
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
    return commitQueue(Now, Wall);
  return std::nullopt;
}

bool PartitionCommitter::swapAllowed(core::TimePoint Now) const {
  return BurstRefilledAt <= Now + Bounds.SwapInterval * (Bounds.SwapBurst - 1);
}

void PartitionCommitter::consumeSwapBudget(core::TimePoint Now) {
  BurstRefilledAt = std::max(BurstRefilledAt, Now) + Bounds.SwapInterval;
}

/// @return the next read, write or removal of a segment, if one is needed.
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
  // A value that is large because of claims in progress stays as it is.
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
  bool OfSegment = !InProgress->Segment.empty();
  bool Failed = isFailure(Reply);
  if (OfSegment)
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
  bool Swapping = InProgress->What == StoreCall::Kind::CompareAndSwap;
  InProgress.reset();
  if (Reply.What == StoreReply::Kind::Lost && Swapping)
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
    // A removal is not worth another try: what is left is of no use and in no
    // way.
    if (Call.What == StoreCall::Kind::Erase)
      OrphanedSegments.pop_back();
    return;
  }
  switch (Call.What) {
  case StoreCall::Kind::Read: {
    auto Parsed = Segment::parse(Reply.Value);
    // A segment that is missing has been forgotten by a newer value.
    if (Parsed)
      SegmentCache[Call.Segment] =
          std::make_shared<Segment>(std::move(*Parsed));
    else
      Cached.reset();
    return;
  }
  case StoreCall::Kind::CompareAndSwap:
    // Found under its own unique name, it was written by a try whose answer was
    // lost.
    PendingSegment->Stored = true;
    updateSegments();
    return;
  case StoreCall::Kind::Erase:
    OrphanedSegments.pop_back();
    return;
  }
}

/// Forgets what the cached value no longer names, and sees what became of the
/// new segment.
void PartitionCommitter::updateSegments() {
  ExpiredSegments.clear();
  if (!Cached)
    return;
  std::erase_if(SegmentCache, [this](const auto &Known) {
    return !Cached->hasSegment(Known.first);
  });
  if (!PendingSegment || !PendingSegment->Stored)
    return;
  if (Cached->hasSegment(PendingSegment->Name)) {
    SegmentCache[PendingSegment->Name] = PendingSegment->Claims;
    PendingSegment.reset();
    return;
  }
  // Another entry has moved all its claims to a segment of its own.
  Partition Copy = *Cached;
  if (!Copy.moveToSegment(*PendingSegment->Claims, PendingSegment->Name)) {
    OrphanedSegments.push_back(PendingSegment->Name);
    PendingSegment.reset();
  }
}

void PartitionCommitter::expireClaims(core::TimePoint Now) {
  auto Expired = [&](const Operation &Op) {
    auto *C = std::get_if<ClaimOperation>(&Op.What);
    return C && C->OnDone && Now >= C->Deadline;
  };
  std::vector<std::pair<ClaimDone, ClaimReply>> Refused;
  for (Operation &Op : Batch) {
    if (!Expired(Op))
      continue;
    auto &C = std::get<ClaimOperation>(Op.What);
    ClaimReply Reply;
    Reply.MayBeStored = true;
    Refused.emplace_back(std::move(C.OnDone), Reply);
    C.OnDone = nullptr;
  }
  std::erase_if(Queue, [&](Operation &Op) {
    if (!Expired(Op))
      return false;
    auto &C = std::get<ClaimOperation>(Op.What);
    Refused.emplace_back(std::move(C.OnDone), lastKnownReply(C.NewClaim));
    return true;
  });
  for (const auto &[OnDone, Reply] : Refused)
    OnDone(Reply);
}

/// The reply to a claim that the store could not be asked about: what is known
/// of a key that was seen taken.
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

std::optional<StoreCall> PartitionCommitter::commitQueue(core::TimePoint Now,
                                                         core::WallTime Wall) {
  NextPartition = *Cached;
  ExpiredSegments = NextPartition.trim(Wall, Bounds.Values);
  bool MovesClaims = PendingSegment && PendingSegment->Stored &&
                     NextPartition.moveToSegment(*PendingSegment->Claims,
                                                 PendingSegment->Name);
  for (Operation &Op : Queue)
    apply(Op, NextPartition);

  std::vector<Operation> Final;
  std::deque<Operation> Open;
  for (Operation &Op : Queue)
    if (isFinal(Op))
      Final.push_back(std::move(Op));
    else
      Open.push_back(std::move(Op));
  Queue.clear();

  std::optional<StoreCall> Call;
  bool Changes =
      MovesClaims ||
      std::any_of(Open.begin(), Open.end(), [](const Operation &Op) {
        auto *Reply = std::get_if<ClaimReply>(&Op.Reply);
        return Reply ? Reply->What == ClaimReply::Kind::Claimed
                     : std::get<RecordReply>(Op.Reply) == RecordReply::Written;
      });
  if (Changes && !swapAllowed(Now)) {
    Queue = std::move(Open);
  } else if (Changes) {
    consumeSwapBudget(Now);
    Batch.assign(std::make_move_iterator(Open.begin()),
                 std::make_move_iterator(Open.end()));
    NextValue = NextPartition.format();
    Call = startSwap();
  } else if (!Open.empty()) {
    Queue = std::move(Open);
    Call = call({StoreCall::Kind::Read, "", 0, {}});
  }
  for (Operation &Op : Final)
    answer(Op);
  return Call;
}

void PartitionCommitter::apply(Operation &Op, Partition &To) const {
  if (auto *C = std::get_if<ClaimOperation>(&Op.What)) {
    const Claim *Executed = findInSegments(To, C->NewClaim.Key);
    Op.Reply = Executed ? replyTo(C->NewClaim, *Executed)
                        : To.claim(C->NewClaim, Bounds.Values);
    return;
  }
  const Record &Result = std::get<RecordOperation>(Op.What).Result;
  const Claim *Executed = findInSegments(To, Result.Key);
  if (Executed && Executed->Holder.Id == Result.AttemptId)
    Op.Reply = Result.What == Outcome::Answered ? RecordReply::Written
                                                : RecordReply::Replaced;
  else
    Op.Reply = To.record(Result, Bounds.Values);
}

/// @return the claim of that key in a segment that \p In names.
const Claim *PartitionCommitter::findInSegments(const Partition &In,
                                                const ClaimKey &Key) const {
  for (const SegmentReference &S : In.segments()) {
    auto Known = SegmentCache.find(S.Name);
    const Segment *Claims = Known != SegmentCache.end() ? Known->second.get()
                            : PendingSegment && PendingSegment->Name == S.Name
                                ? PendingSegment->Claims.get()
                                : nullptr;
    const Claim *Found = Claims ? Claims->find(Key) : nullptr;
    if (Found)
      return Found;
  }
  return nullptr;
}

/// Whether the reply can be given without another store call. A key that is
/// answered or used otherwise stays so; everything else must be as new as the
/// operation, and a change must be in the store.
bool PartitionCommitter::isFinal(const Operation &Op) const {
  if (auto *Reply = std::get_if<ClaimReply>(&Op.Reply))
    switch (Reply->What) {
    case ClaimReply::Kind::Answered:
    case ClaimReply::Kind::AnswerDropped:
      return true;
    case ClaimReply::Kind::Claimed: {
      // Found in the store already: an earlier swap took effect.
      const Attempt &Own = std::get<ClaimOperation>(Op.What).NewClaim.Holder;
      const Claim *Stored = Cached->find(Reply->Found.Key);
      return Op.CacheIsCurrent && Stored && Stored->Holder.Id == Own.Id &&
             Stored->State == ClaimState::Held;
    }
    default:
      return Op.CacheIsCurrent;
    }
  const Record &Result = std::get<RecordOperation>(Op.What).Result;
  if (std::get<RecordReply>(Op.Reply) == RecordReply::Replaced)
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
  // A claim that was given up is not tried again.
  std::erase_if(Batch, [](const Operation &Op) {
    auto *C = std::get_if<ClaimOperation>(&Op.What);
    return C && !C->OnDone;
  });
  Queue.insert(Queue.begin(), std::make_move_iterator(Batch.begin()),
               std::make_move_iterator(Batch.end()));
  Batch.clear();
}

void PartitionCommitter::answer(Operation &Op) {
  if (auto *C = std::get_if<ClaimOperation>(&Op.What)) {
    if (C->OnDone)
      C->OnDone(std::get<ClaimReply>(Op.Reply));
    return;
  }
  std::get<RecordOperation>(Op.What).OnDone(std::get<RecordReply>(Op.Reply));
}

StoreCall PartitionCommitter::startSwap() {
  return call({StoreCall::Kind::CompareAndSwap, "", Revision, NextValue});
}

} // namespace rosemarylane::ledger
