#include "ledger/PartitionCommitter.h"

#include <algorithm>
#include <cassert>

namespace rosemarylane::ledger {

void PartitionCommitter::claim(Claim Wanted, core::TimePoint Now,
                               ClaimDone OnDone) {
  if (waiting() >= Bounds.MaxWaiting)
    return OnDone({});
  Queue.push_back({ClaimOperation{std::move(Wanted), Now + Bounds.ClaimDeadline,
                                  std::move(OnDone)}});
}

void PartitionCommitter::record(Record Result, RecordDone OnDone) {
  Queue.push_back({RecordOperation{std::move(Result), std::move(OnDone)}});
}

std::optional<StoreCall> PartitionCommitter::next(core::TimePoint Now,
                                                  core::WallTime Wall) {
  giveUpLate(Now);
  if (InProgress || (RetryAt && Now < *RetryAt))
    return std::nullopt;
  RetryAt.reset();
  if (Ambiguous)
    return startSwap();
  if (!Cached) {
    if (Queue.empty())
      return std::nullopt;
    return call({StoreCall::Kind::Read, "", 0, {}});
  }
  if (auto Call = nextSegmentCall())
    return Call;
  if (!Queue.empty() || (Sealing && Sealing->Stored))
    return decide(Now, Wall);
  return std::nullopt;
}

bool PartitionCommitter::maySwap(core::TimePoint Now) const {
  return BurstWholeAt <= Now + Bounds.SwapInterval * (Bounds.SwapBurst - 1);
}

void PartitionCommitter::countSwap(core::TimePoint Now) {
  BurstWholeAt = std::max(BurstWholeAt, Now) + Bounds.SwapInterval;
}

/// @return the next read, write or removal of a segment, if one is needed.
std::optional<StoreCall> PartitionCommitter::nextSegmentCall() {
  if (!Queue.empty())
    for (const SegmentReference &S : Cached->segments())
      if (!Sealed.contains(S.Name))
        return call({StoreCall::Kind::Read, S.Name, 0, {}});
  if (!Sealing && Cached->needsSeal(Bounds.Values))
    startSegment();
  if (Sealing && !Sealing->Stored)
    return call(
        {StoreCall::Kind::Swap, Sealing->Name, 0, Sealing->Claims->format()});
  if (Queue.empty() && !Unused.empty())
    return call({StoreCall::Kind::Erase, Unused.back(), 0, {}});
  return std::nullopt;
}

void PartitionCommitter::startSegment() {
  std::vector<Claim> Ran = Cached->sealable();
  // A value that is large because of claims in progress stays as it is.
  if (Ran.size() * 2 < Cached->size())
    return;
  Sealing = NewSegment{SegmentPrefix + "-" + std::to_string(++SegmentsMade),
                       std::make_shared<Segment>(std::move(Ran)), false};
}

StoreCall PartitionCommitter::call(StoreCall Call) {
  InProgress = Call;
  return Call;
}

void PartitionCommitter::complete(StoreReply Reply, core::TimePoint Now) {
  assert(InProgress);
  bool OfSegment = !InProgress->Segment.empty();
  bool Failed = failedCall(Reply);
  if (OfSegment)
    completeSegment(Reply);
  else
    completeValue(Reply);
  if (Failed || !Cached)
    RetryAt = Now + Bounds.RetryInterval;
}

bool PartitionCommitter::failedCall(const StoreReply &Reply) {
  return Reply.What == StoreReply::Kind::Lost ||
         Reply.What == StoreReply::Kind::Unavailable;
}

void PartitionCommitter::completeValue(StoreReply &Reply) {
  bool Swapping = InProgress->What == StoreCall::Kind::Swap;
  InProgress.reset();
  if (Reply.What == StoreReply::Kind::Lost && Swapping)
    Ambiguous = true;
  if (failedCall(Reply)) {
    if (!Ambiguous)
      requeueBatch();
    return;
  }
  Ambiguous = false;
  std::vector<Operation> Done;
  if (Reply.What == StoreReply::Kind::Swapped) {
    Cached = std::move(Next);
    Revision = Reply.Revision;
    Done.swap(Batch);
    Unused.insert(Unused.end(), Forgotten.begin(), Forgotten.end());
  } else {
    adopt(Reply);
    requeueBatch();
    for (Operation &Op : Queue)
      Op.Fresh = true;
  }
  settleSegments();
  for (Operation &Op : Done)
    answer(Op);
}

void PartitionCommitter::completeSegment(StoreReply &Reply) {
  StoreCall Call = std::move(*InProgress);
  InProgress.reset();
  if (failedCall(Reply)) {
    // A removal is not worth another try: what is left is of no use and in no
    // way.
    if (Call.What == StoreCall::Kind::Erase)
      Unused.pop_back();
    return;
  }
  switch (Call.What) {
  case StoreCall::Kind::Read: {
    auto Parsed = Segment::parse(Reply.Value);
    // A segment that is missing has been forgotten by a newer value.
    if (Parsed)
      Sealed[Call.Segment] = std::make_shared<Segment>(std::move(*Parsed));
    else
      Cached.reset();
    return;
  }
  case StoreCall::Kind::Swap:
    // Found under its own unique name, it was written by a try whose answer was
    // lost.
    Sealing->Stored = true;
    settleSegments();
    return;
  case StoreCall::Kind::Erase:
    Unused.pop_back();
    return;
  }
}

/// Forgets what the cached value no longer names, and sees what became of the
/// new segment.
void PartitionCommitter::settleSegments() {
  Forgotten.clear();
  if (!Cached)
    return;
  std::erase_if(Sealed, [this](const auto &Known) {
    return !Cached->hasSegment(Known.first);
  });
  if (!Sealing || !Sealing->Stored)
    return;
  if (Cached->hasSegment(Sealing->Name)) {
    Sealed[Sealing->Name] = Sealing->Claims;
    Sealing.reset();
    return;
  }
  // Another entry has moved all its claims to a segment of its own.
  Partition Copy = *Cached;
  if (!Copy.moveTo(*Sealing->Claims, Sealing->Name)) {
    Unused.push_back(Sealing->Name);
    Sealing.reset();
  }
}

void PartitionCommitter::giveUpLate(core::TimePoint Now) {
  auto Late = [&](const Operation &Op) {
    auto *C = std::get_if<ClaimOperation>(&Op.What);
    return C && C->OnDone && Now >= C->Deadline;
  };
  std::vector<std::pair<ClaimDone, ClaimReply>> Refused;
  for (Operation &Op : Batch) {
    if (!Late(Op))
      continue;
    auto &C = std::get<ClaimOperation>(Op.What);
    ClaimReply Reply;
    Reply.MayBeStored = true;
    Refused.emplace_back(std::move(C.OnDone), Reply);
    C.OnDone = nullptr;
  }
  std::erase_if(Queue, [&](Operation &Op) {
    if (!Late(Op))
      return false;
    auto &C = std::get<ClaimOperation>(Op.What);
    Refused.emplace_back(std::move(C.OnDone), lastKnown(C.Wanted));
    return true;
  });
  for (const auto &[OnDone, Reply] : Refused)
    OnDone(Reply);
}

/// The reply to a claim that the store could not be asked about: what is known
/// of a key that was seen taken.
ClaimReply PartitionCommitter::lastKnown(const Claim &Wanted) const {
  if (!Cached)
    return {};
  if (const Claim *Ran = findSealed(*Cached, Wanted.Key))
    return replyTo(Wanted, *Ran);
  if (!Cached->find(Wanted.Key))
    return {};
  Partition Copy = *Cached;
  ClaimReply Reply = Copy.claim(Wanted, Bounds.Values);
  if (Reply.What != ClaimReply::Kind::Claimed)
    return Reply;
  Reply = {};
  Reply.MayBeStored = true;
  return Reply;
}

std::optional<StoreCall> PartitionCommitter::decide(core::TimePoint Now,
                                                    core::WallTime Wall) {
  Next = *Cached;
  Forgotten = Next.trim(Wall, Bounds.Values);
  bool Moves = Sealing && Sealing->Stored &&
               Next.moveTo(*Sealing->Claims, Sealing->Name);
  for (Operation &Op : Queue)
    apply(Op, Next);

  std::vector<Operation> Settled;
  std::deque<Operation> Open;
  for (Operation &Op : Queue)
    if (settled(Op))
      Settled.push_back(std::move(Op));
    else
      Open.push_back(std::move(Op));
  Queue.clear();

  std::optional<StoreCall> Call;
  bool Changes =
      Moves || std::any_of(Open.begin(), Open.end(), [](const Operation &Op) {
        auto *Reply = std::get_if<ClaimReply>(&Op.Reply);
        return Reply ? Reply->What == ClaimReply::Kind::Claimed
                     : std::get<RecordReply>(Op.Reply) == RecordReply::Written;
      });
  if (Changes && !maySwap(Now)) {
    Queue = std::move(Open);
  } else if (Changes) {
    countSwap(Now);
    Batch.assign(std::make_move_iterator(Open.begin()),
                 std::make_move_iterator(Open.end()));
    NextValue = Next.format();
    Call = startSwap();
  } else if (!Open.empty()) {
    Queue = std::move(Open);
    Call = call({StoreCall::Kind::Read, "", 0, {}});
  }
  for (Operation &Op : Settled)
    answer(Op);
  return Call;
}

void PartitionCommitter::apply(Operation &Op, Partition &To) const {
  if (auto *C = std::get_if<ClaimOperation>(&Op.What)) {
    const Claim *Ran = findSealed(To, C->Wanted.Key);
    Op.Reply =
        Ran ? replyTo(C->Wanted, *Ran) : To.claim(C->Wanted, Bounds.Values);
    return;
  }
  const Record &Result = std::get<RecordOperation>(Op.What).Result;
  const Claim *Ran = findSealed(To, Result.Key);
  if (Ran && Ran->Holder.Id == Result.AttemptId)
    Op.Reply = Result.What == Outcome::Answered ? RecordReply::Written
                                                : RecordReply::Replaced;
  else
    Op.Reply = To.record(Result, Bounds.Values);
}

/// @return the claim of that key in a segment that \p In names.
const Claim *PartitionCommitter::findSealed(const Partition &In,
                                            const ClaimKey &Key) const {
  for (const SegmentReference &S : In.segments()) {
    auto Known = Sealed.find(S.Name);
    const Segment *Claims = Known != Sealed.end() ? Known->second.get()
                            : Sealing && Sealing->Name == S.Name
                                ? Sealing->Claims.get()
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
bool PartitionCommitter::settled(const Operation &Op) const {
  if (auto *Reply = std::get_if<ClaimReply>(&Op.Reply))
    switch (Reply->What) {
    case ClaimReply::Kind::Answered:
    case ClaimReply::Kind::AnswerDropped:
      return true;
    case ClaimReply::Kind::Claimed: {
      // Found in the store already: an earlier swap took effect.
      const Attempt &Own = std::get<ClaimOperation>(Op.What).Wanted.Holder;
      const Claim *Stored = Cached->find(Reply->Found.Key);
      return Op.Fresh && Stored && Stored->Holder.Id == Own.Id &&
             Stored->State == ClaimState::Held;
    }
    default:
      return Op.Fresh;
    }
  const Record &Result = std::get<RecordOperation>(Op.What).Result;
  if (std::get<RecordReply>(Op.Reply) == RecordReply::Replaced)
    return Op.Fresh;
  if (findSealed(*Cached, Result.Key))
    return true;
  const Claim *Stored = Cached->find(Result.Key);
  const Claim *After = Next.find(Result.Key);
  return Op.Fresh && Stored && After && *Stored == *After;
}

void PartitionCommitter::adopt(StoreReply &Reply) {
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
  return call({StoreCall::Kind::Swap, "", Revision, NextValue});
}

} // namespace rosemarylane::ledger
