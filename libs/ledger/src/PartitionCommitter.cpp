#include "ledger/PartitionCommitter.h"

#include <algorithm>
#include <cassert>
#include <utility>

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

void PartitionCommitter::setHistory(const HistoryState &Current) {
  HistoryInDoubt = false;
  bool IsOther = Store.History != 0 && Store.History != Current.History;
  if (IsOther)
    beginHistory();
  Store = Current;
}

/// Discards what belongs to the history before: its value and revision, and
/// what was decided on them. What they say of claims is kept.
void PartitionCommitter::beginHistory() {
  if (Cached)
    for (const Claim &C : Cached->claims())
      addUnmerged(C);
  for (const auto &[Name, Known] : SegmentCache)
    for (const auto &[Key, C] : Known->claims())
      addUnmerged(C);
  if (PendingSegment)
    for (const auto &[Key, C] : PendingSegment->Claims->claims())
      addUnmerged(C);
  for (const auto &[Key, C] : Remembered)
    addUnmerged(C);
  Cached.reset();
  SegmentCache.clear();
  MissingSegments.clear();
  PendingSegment.reset();
  ExpiredSegments.clear();
  // An older value may name them again.
  OrphanedSegments.clear();
  if (InProgress)
    return;
  SwapOutcomeUnknown = false;
  Merging = false;
  requeueBatch();
}

/// Takes a segment that the store lacks for empty, and lets the next value drop
/// its name. A swap of the history before can name one that the copy of the
/// store did not have; those who know its claims write them again. The fence
/// keeps such a segment from being written later.
void PartitionCommitter::addMissingSegment(const std::string &Name) {
  MissingSegments.insert(Name);
  SegmentCache[Name] = std::make_shared<Segment>();
}

void PartitionCommitter::addUnmerged(const Claim &Known) {
  auto [Position, Added] = Unmerged.emplace(Known.Key, Known);
  if (!Added)
    mergeClaim(Position->second, Known);
}

void PartitionCommitter::remember(const Claim &Held) {
  Remembered[Held.Key] = Held;
  RememberedByTime.emplace_back(Held.ClaimedAt, Held.Key);
  while (Held.ClaimedAt - RememberedByTime.front().first >
         Bounds.Values.Retention) {
    auto Oldest = Remembered.find(RememberedByTime.front().second);
    if (Oldest != Remembered.end() &&
        Oldest->second.ClaimedAt <= RememberedByTime.front().first)
      Remembered.erase(Oldest);
    RememberedByTime.pop_front();
  }
}

void PartitionCommitter::rememberOutcome(const OutcomeRecord &Result) {
  auto Found = Remembered.find(Result.Key);
  if (Found == Remembered.end() || Found->second.Holder.Id != Result.AttemptId)
    return;
  switch (Result.What) {
  case Outcome::NotRun:
    Remembered.erase(Found);
    return;
  case Outcome::Answered:
    Found->second.State = ClaimState::AnswerDropped;
    return;
  case Outcome::Unknown:
    Found->second.State = ClaimState::Unknown;
    return;
  }
}

std::optional<StoreCall> PartitionCommitter::next(core::TimePoint Now,
                                                  core::WallTime WallNow) {
  expireClaims(Now);
  if (InProgress || HistoryInDoubt || (RetryAt && Now < *RetryAt))
    return std::nullopt;
  RetryAt.reset();
  if (SwapOutcomeUnknown)
    return startSwap();
  if (!Cached) {
    if (Queue.empty() && Unmerged.empty())
      return std::nullopt;
    return call({StoreCall::Kind::Read, "", 0, {}});
  }
  if (auto Call = nextSegmentRead())
    return Call;
  if (auto Call = mergeClaims(WallNow))
    return Call;
  if (!Store.Settled)
    return std::nullopt;
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

/// Writes the claims of the history before that the store's value lacks.
std::optional<StoreCall>
PartitionCommitter::mergeClaims(core::WallTime WallNow) {
  Merging = false;
  if (Unmerged.empty() && MissingSegments.empty())
    return std::nullopt;
  NextPartition = *Cached;
  for (const std::string &Name : MissingSegments)
    NextPartition.removeSegment(Name);
  for (const auto &[Key, C] : Unmerged)
    if (!findInSegments(NextPartition, Key))
      NextPartition.merge(C);
  ExpiredSegments = NextPartition.trim(WallNow, Bounds.Values);
  if (NextPartition == *Cached) {
    Unmerged.clear();
    return std::nullopt;
  }
  Merging = true;
  NextValue = NextPartition.format();
  return startSwap();
}

/// @return the read of a segment that is needed to look keys up, if any.
std::optional<StoreCall> PartitionCommitter::nextSegmentRead() {
  if (Queue.empty() && Unmerged.empty())
    return std::nullopt;
  for (const SegmentReference &S : Cached->segments())
    if (!SegmentCache.contains(S.Name))
      return call({StoreCall::Kind::Read, S.Name, 0, {}});
  return std::nullopt;
}

/// @return the next write or removal of a segment, if any is needed.
std::optional<StoreCall> PartitionCommitter::nextSegmentCall() {
  if (!PendingSegment && Cached->needsSealing(Bounds.Values))
    createSegment();
  if (PendingSegment && !PendingSegment->Stored)
    return call({StoreCall::Kind::CompareAndSwap, PendingSegment->Name, 0,
                 PendingSegment->Claims->format(), Store.History, Store.Fence});
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
  Call.History = Store.History;
  InProgress = Call;
  return Call;
}

void PartitionCommitter::complete(StoreReply Reply, core::TimePoint Now) {
  assert(InProgress);
  if (isOfOtherHistory(Reply))
    return abandonCall(Now);
  bool IsSegmentCall = !InProgress->Segment.empty();
  bool Failed = isFailure(Reply);
  if (IsSegmentCall)
    completeSegmentCall(Reply);
  else
    completePartitionCall(Reply);
  if (Failed || !Cached)
    RetryAt = Now + Bounds.RetryInterval;
}

/// @return whether the call in progress was made in another history than the
/// present one, or met another.
bool PartitionCommitter::isOfOtherHistory(const StoreReply &Reply) const {
  bool MetOther = Reply.History != 0 && Store.History != 0 &&
                  Reply.History != Store.History;
  return Reply.What == StoreReply::Kind::OtherHistory || MetOther ||
         InProgress->History != Store.History;
}

/// Ends a call whose reply says nothing of the present history. A swap that
/// took effect all the same is found when the value is read.
void PartitionCommitter::abandonCall(core::TimePoint Now) {
  // `setHistory` may have been called since; if not, it has to be.
  HistoryInDoubt = InProgress->History == Store.History;
  InProgress.reset();
  SwapOutcomeUnknown = false;
  Merging = false;
  requeueBatch();
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
  bool Merged = std::exchange(Merging, false);
  std::vector<Operation> Done;
  if (Reply.What == StoreReply::Kind::Swapped) {
    if (Merged)
      Unmerged.clear();
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
    else if (Reply.Value.empty() && (!Store.Settled || !Unmerged.empty()))
      addMissingSegment(Call.Segment);
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
  std::erase_if(MissingSegments, [this](const std::string &Name) {
    return !Cached->hasSegment(Name);
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
  return call({StoreCall::Kind::CompareAndSwap, "", Revision, NextValue,
               Store.History, Store.Fence});
}

} // namespace rosemarylane::ledger
