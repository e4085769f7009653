#include "LedgerHistory.h"

namespace rosemarylane::ledger {

using namespace std::chrono_literals;

namespace {

/// Callers go on to other keys after this many choices.
constexpr std::size_t ChoicesPerKey = 400;

/// Low, so that a history moves claims to segments.
constexpr std::size_t SealBytes = 1;

CommitterLimits limits() {
  CommitterLimits Bounds;
  Bounds.Values.SealBytes = SealBytes;
  return Bounds;
}

} // namespace

LedgerHistory::LedgerHistory(std::vector<unsigned> Choices,
                             LedgerVariant Variant)
    : Choices(std::move(Choices)), Variant(Variant) {
  for (std::size_t I = 0; I < EntryCount; ++I)
    Entries.emplace_back(++EntriesStarted);
}

LedgerHistory::Entry::Entry(unsigned Number)
    : Committer("entry-" + std::to_string(Number), limits()) {}

HistoryResult LedgerHistory::run() {
  while (NextChoice < Choices.size())
    step();
  settle();
  for (const auto &[Key, Runs] : RunsOfKey)
    Result.MaxRuns = std::max(Result.MaxRuns, Runs);
  if (auto Value = Partition::parse(Stored[""].Bytes))
    Result.Segments = Value->segments().size();
  return Result;
}

/// Lets the entries work with a store that answers every call.
void LedgerHistory::settle() {
  constexpr auto Settling = 10s;
  for (core::TimePoint End = Now + Settling; Now < End; Now += 20ms)
    for (Entry &At : Entries) {
      if (!At.Call)
        if (auto Call = At.Committer.next(Now, core::WallTime()))
          At.Call = CallInProgress{std::move(*Call), std::nullopt};
      if (!At.Call)
        continue;
      StoreReply Reply =
          At.Call->Reply ? *At.Call->Reply : execute(At.Call->Call);
      At.Call.reset();
      At.Committer.complete(std::move(Reply), Now);
    }
  for (const Entry &At : Entries)
    Result.Stuck += At.Committer.waiting();
}

unsigned LedgerHistory::choose(unsigned Bound) {
  if (NextChoice >= Choices.size())
    return 0;
  return Choices[NextChoice++] % Bound;
}

void LedgerHistory::step() {
  std::size_t E = choose(EntryCount);
  switch (choose(16)) {
  case 0:
  case 1:
    return submit();
  case 2:
  case 3:
  case 4:
  case 5:
    return callStore(E);
  case 6:
  case 7:
  case 8:
    return deliverReply(E);
  case 9:
  case 10:
  case 11:
    deliverMessage();
    return deliverMessage();
  case 12:
    return fallBack();
  case 13:
    return originAsks();
  case 14:
    Now += choose(8) == 0 ? 2000ms : 60ms;
    return;
  case 15:
    if (choose(6) == 0)
      crash();
    return;
  }
}

/// A caller sends its request, or repeats it, through any entry.
void LedgerHistory::submit() {
  Try T;
  T.Origin = choose(EntryCount);
  T.OriginLife = Entries[T.Origin].Life;
  T.Wanted.Key =
      ClaimKey("key-" + std::to_string(NextChoice / ChoicesPerKey + choose(2)));
  T.Wanted.Request = RequestHash("body");
  T.Wanted.Holder.Id = "attempt-" + std::to_string(Tries.size());
  T.Wanted.Holder.AgentIncarnation = Target.Incarnation;
  std::size_t At = choose(EntryCount);
  T.Forwarded = At != T.Origin;
  std::size_t Index = Tries.size();
  Tries.push_back(T);
  if (Variant == LedgerVariant::DispatchBeforeAnswer)
    dispatch(Index);
  if (!T.Forwarded)
    return commitAt(At, Index, false);
  Messages.push_back([this, At, Index] { commitAt(At, Index, true); });
}

void LedgerHistory::commitAt(std::size_t E, std::size_t TryIndex,
                             bool ForAnother) {
  const Claim Wanted = Tries[TryIndex].Wanted;
  Entries[E].Committer.claim(
      Wanted, Now, [this, E, TryIndex, ForAnother](const ClaimReply &Reply) {
        if (!ForAnother)
          return onReply(TryIndex, Reply);
        if (Reply.MayBeStored && Variant == LedgerVariant::HelperReleases)
          recordAt(E, Tries[TryIndex].Wanted, Outcome::NotRun, "");
        Messages.push_back(
            [this, TryIndex, Reply] { onReply(TryIndex, Reply); });
      });
}

void LedgerHistory::callStore(std::size_t E) {
  Entry &At = Entries[E];
  if (!At.Call) {
    if (auto Call = At.Committer.next(Now, core::WallTime()))
      At.Call = CallInProgress{std::move(*Call), std::nullopt};
    if (!At.Call || choose(2) == 0)
      return;
  }
  if (At.Call->Reply)
    return;
  switch (choose(10)) {
  case 0:
    At.Call->Reply = StoreReply{StoreReply::Kind::Unavailable, {}, 0};
    return;
  case 1:
    execute(At.Call->Call);
    At.Call->Reply = StoreReply{StoreReply::Kind::Lost, {}, 0};
    return;
  case 2:
    LateSwaps.push_back(At.Call->Call);
    At.Call->Reply = StoreReply{StoreReply::Kind::Lost, {}, 0};
    return;
  default:
    At.Call->Reply = execute(At.Call->Call);
  }
}

StoreReply LedgerHistory::execute(const StoreCall &Call) {
  if (Call.What == StoreCall::Kind::Erase) {
    Stored.erase(Call.Segment);
    return {StoreReply::Kind::Erased, {}, 0};
  }
  StoredValue &Value = Stored[Call.Segment];
  bool Matches =
      Call.Expected == Value.Revision || Variant == LedgerVariant::BlindWrite;
  if (Call.What == StoreCall::Kind::Read || !Matches)
    return {StoreReply::Kind::Found, Value.Bytes, Value.Revision};
  Value = {Call.Value, ++LastRevision};
  return {StoreReply::Kind::Swapped, Value.Bytes, Value.Revision};
}

void LedgerHistory::deliverReply(std::size_t E) {
  if (!LateSwaps.empty() && choose(4) == 0) {
    execute(LateSwaps.back());
    LateSwaps.pop_back();
    return;
  }
  Entry &At = Entries[E];
  if (!At.Call || !At.Call->Reply)
    return;
  StoreReply Reply = std::move(*At.Call->Reply);
  At.Call.reset();
  At.Committer.complete(std::move(Reply), Now);
}

/// Delivers, repeats or loses one of the messages on their way.
void LedgerHistory::deliverMessage() {
  if (Messages.empty())
    return;
  std::size_t Index = choose(static_cast<unsigned>(Messages.size()));
  auto Deliver = Messages[Index];
  unsigned Fate = choose(12);
  if (Fate != 1)
    Messages.erase(Messages.begin() + static_cast<std::ptrdiff_t>(Index));
  if (Fate != 0)
    Deliver();
}

/// An entry whose forwarded claim was not replied to commits it itself.
void LedgerHistory::fallBack() {
  for (std::size_t I = 0; I < Tries.size(); ++I) {
    Try &T = Tries[I];
    if (!T.Forwarded || T.FellBack || T.State != Phase::Claiming || !alive(T) ||
        choose(2) == 0)
      continue;
    T.FellBack = true;
    return commitAt(T.Origin, I, false);
  }
}

void LedgerHistory::onReply(std::size_t TryIndex, const ClaimReply &Reply) {
  Try &T = Tries[TryIndex];
  if (!alive(T) || T.State != Phase::Claiming)
    return;
  // A refusal by a helper is not the end: the entry still tries itself.
  if (Reply.What == ClaimReply::Kind::Unavailable && T.Forwarded &&
      !T.FellBack) {
    T.FellBack = true;
    return commitAt(T.Origin, TryIndex, false);
  }
  if (Reply.What == ClaimReply::Kind::Claimed) {
    ++Result.Claims;
    return dispatch(TryIndex);
  }
  T.State = Phase::Ended;
  std::size_t E = T.Origin;
  Claim Own = T.Wanted;
  if (Reply.What == ClaimReply::Kind::Unavailable &&
      (Reply.MayBeStored || T.Forwarded))
    recordAt(E, Own, Outcome::NotRun, "");
  if (Reply.What == ClaimReply::Kind::InProgress)
    Messages.push_back([this, E, Held = Reply.Found] { askAgent(E, Held); });
  if (Reply.What == ClaimReply::Kind::Answered) {
    ++Result.Answers;
    if (Reply.Found.Answer != AnswerOfKey[Own.Key.str()])
      ++Result.WrongAnswers;
  }
}

void LedgerHistory::dispatch(std::size_t TryIndex) {
  Tries[TryIndex].State = Phase::Dispatched;
  Messages.push_back([this, TryIndex] { arrive(TryIndex); });
}

/// The attempt reaches the agent, which starts each at most once.
void LedgerHistory::arrive(std::size_t TryIndex) {
  const Claim Wanted = Tries[TryIndex].Wanted;
  if (Wanted.Holder.AgentIncarnation != Target.Incarnation)
    return;
  if (!Target.Seen.insert(Wanted.Holder.Id).second)
    return;
  const std::string &Key = Wanted.Key.str();
  ++RunsOfKey[Key];
  ++Result.Runs;
  std::string Answer = "answer to " + Wanted.Holder.Id;
  Target.Answers[Wanted.Holder.Id] = Answer;
  AnswerOfKey[Key] = Answer;
  std::size_t E = Tries[TryIndex].Origin;
  unsigned Life = Tries[TryIndex].OriginLife;
  Messages.push_back([this, E, Life, Wanted, Answer] {
    if (Entries[E].Life == Life)
      recordAt(E, Wanted, Outcome::Answered, Answer);
  });
}

/// The origin heard nothing of its attempt and asks.
void LedgerHistory::originAsks() {
  if (Tries.empty() || choose(4) != 0)
    return;
  const Try &T = Tries[choose(static_cast<unsigned>(Tries.size()))];
  if (T.State == Phase::Dispatched && alive(T))
    askAgent(T.Origin, T.Wanted);
}

/// Asks what became of an attempt, and forbids it if it has not come.
void LedgerHistory::askAgent(std::size_t E, const Claim &Held) {
  const std::string &Id = Held.Holder.Id;
  if (Held.Holder.AgentIncarnation != Target.Incarnation) {
    if (Variant == LedgerVariant::SilenceMeansNotRun)
      recordAt(E, Held, Outcome::NotRun, "");
    else if (choose(2) == 0)
      recordAt(E, Held, Outcome::Unknown, "");
    return;
  }
  auto Answer = Target.Answers.find(Id);
  bool Ran = Answer != Target.Answers.end();
  Target.Seen.insert(Id);
  std::string Text = Ran ? Answer->second : "";
  Messages.push_back([this, E, Held, Ran, Text] {
    recordAt(E, Held, Ran ? Outcome::Answered : Outcome::NotRun, Text);
  });
}

void LedgerHistory::recordAt(std::size_t E, const Claim &Held, Outcome What,
                             std::string Answer) {
  // Records are forwarded too.
  std::size_t At = choose(3) == 0 ? choose(EntryCount) : E;
  Entries[At].Committer.record(
      {Held.Key, Held.Holder.Id, What, std::move(Answer)}, [](RecordReply) {});
}

void LedgerHistory::crash() {
  if (choose(2) == 0) {
    ++Target.Incarnation;
    Target.Seen.clear();
    Target.Answers.clear();
    return;
  }
  Entry &At = Entries[choose(EntryCount)];
  if (At.Call && !At.Call->Reply)
    LateSwaps.push_back(At.Call->Call);
  unsigned Life = At.Life + 1;
  At = Entry(++EntriesStarted);
  At.Life = Life;
}

} // namespace rosemarylane::ledger
