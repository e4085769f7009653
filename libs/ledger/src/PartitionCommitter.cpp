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
  if (State != Phase::Idle || (RetryAt && Now < *RetryAt))
    return std::nullopt;
  RetryAt.reset();
  if (Ambiguous)
    return startSwap();
  if (Queue.empty())
    return std::nullopt;
  if (Cached)
    return decide(Wall);
  State = Phase::Reading;
  return StoreCall{StoreCall::Kind::Read, 0, {}};
}

void PartitionCommitter::complete(StoreReply Reply, core::TimePoint Now) {
  assert(State != Phase::Idle);
  bool Swapping = State == Phase::Swapping;
  State = Phase::Idle;
  switch (Reply.What) {
  case StoreReply::Kind::Swapped: {
    Ambiguous = false;
    Cached = std::move(Next);
    Revision = Reply.Revision;
    std::vector<Operation> Done;
    Done.swap(Batch);
    for (Operation &Op : Done)
      answer(Op);
    return;
  }
  case StoreReply::Kind::Found:
    Ambiguous = false;
    adopt(Reply);
    requeueBatch();
    for (Operation &Op : Queue)
      Op.Fresh = true;
    if (!Cached)
      RetryAt = Now + Bounds.RetryInterval;
    return;
  case StoreReply::Kind::Lost:
    Ambiguous = Ambiguous || Swapping;
    break;
  case StoreReply::Kind::Unavailable:
    break;
  }
  if (!Ambiguous)
    requeueBatch();
  RetryAt = Now + Bounds.RetryInterval;
}

std::optional<core::TimePoint> PartitionCommitter::wakeAt() const {
  if (waiting() == 0 && !Ambiguous)
    return std::nullopt;
  return RetryAt;
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
  if (!Cached || !Cached->find(Wanted.Key))
    return {};
  Partition Copy = *Cached;
  ClaimReply Reply = Copy.claim(Wanted, Bounds.Values);
  if (Reply.What != ClaimReply::Kind::Claimed)
    return Reply;
  Reply = {};
  Reply.MayBeStored = true;
  return Reply;
}

std::optional<StoreCall> PartitionCommitter::decide(core::WallTime Wall) {
  Next = *Cached;
  Next.trim(Wall, Bounds.Values);
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
  bool Changes = std::any_of(Open.begin(), Open.end(), [](const Operation &Op) {
    auto *Reply = std::get_if<ClaimReply>(&Op.Reply);
    return Reply ? Reply->What == ClaimReply::Kind::Claimed
                 : std::get<RecordReply>(Op.Reply) == RecordReply::Written;
  });
  if (Changes) {
    Batch.assign(std::make_move_iterator(Open.begin()),
                 std::make_move_iterator(Open.end()));
    NextValue = Next.format();
    Call = startSwap();
  } else if (!Open.empty()) {
    Queue = std::move(Open);
    State = Phase::Reading;
    Call = StoreCall{StoreCall::Kind::Read, 0, {}};
  }
  for (Operation &Op : Settled)
    answer(Op);
  return Call;
}

void PartitionCommitter::apply(Operation &Op, Partition &To) {
  if (auto *C = std::get_if<ClaimOperation>(&Op.What))
    Op.Reply = To.claim(C->Wanted, Bounds.Values);
  else
    Op.Reply =
        To.record(std::get<RecordOperation>(Op.What).Result, Bounds.Values);
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
  State = Phase::Swapping;
  return {StoreCall::Kind::Swap, Revision, NextValue};
}

} // namespace rosemarylane::ledger
