#include "LedgerSimulation.h"

namespace rosemarylane::ledger {

using namespace std::chrono_literals;

namespace {

/// Number of choices after which callers move on to the next keys.
constexpr std::size_t ChoicesPerKey = 400;

/// Low, so that simulations move claims to segments.
constexpr std::size_t SealThresholdBytes = 1;

CommitterLimits limits() {
  CommitterLimits Bounds;
  Bounds.Values.SealThresholdBytes = SealThresholdBytes;
  return Bounds;
}

} // namespace

LedgerSimulation::LedgerSimulation(std::vector<unsigned> Choices,
                                   ProtocolVariant Variant)
    : Choices(std::move(Choices)), Variant(Variant) {
  for (std::size_t I = 0; I < EntryCount; ++I)
    Entries.emplace_back(++EntriesStarted);
}

LedgerSimulation::Entry::Entry(unsigned Number)
    : Committer("entry-" + std::to_string(Number), limits()) {}

SimulationResult LedgerSimulation::run() {
  while (NextChoice < Choices.size())
    step();
  drain();
  for (const auto &[Key, Runs] : RunsOfKey)
    Result.MaxRuns = std::max(Result.MaxRuns, Runs);
  if (auto Value = Partition::parse(Stored[""].Bytes))
    Result.Segments = Value->segments().size();
  return Result;
}

/// Runs the entries without faults until all operations should be answered.
void LedgerSimulation::drain() {
  constexpr auto DrainTime = 10s;
  for (core::TimePoint End = Now + DrainTime; Now < End; Now += 20ms)
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
    Result.Unanswered += At.Committer.pendingOperations();
}

unsigned LedgerSimulation::choose(unsigned Bound) {
  if (NextChoice >= Choices.size())
    return 0;
  return Choices[NextChoice++] % Bound;
}

void LedgerSimulation::step() {
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
    return queryFromOrigin();
  case 14:
    Now += choose(8) == 0 ? 2000ms : 60ms;
    return;
  case 15:
    if (choose(6) == 0)
      crash();
    return;
  }
}

/// A caller sends or repeats its request through a random entry.
void LedgerSimulation::submit() {
  SimulatedAttempt A;
  A.Origin = choose(EntryCount);
  A.OriginIncarnation = Entries[A.Origin].ProcessIncarnation;
  A.NewClaim.Key =
      ClaimKey("key-" + std::to_string(NextChoice / ChoicesPerKey + choose(2)));
  A.NewClaim.Request = RequestHash("body");
  A.NewClaim.Holder.Id = "attempt-" + std::to_string(Attempts.size());
  A.NewClaim.Holder.AgentIncarnation = AgentProcess.Incarnation;
  std::size_t At = choose(EntryCount);
  A.Forwarded = At != A.Origin;
  std::size_t Index = Attempts.size();
  Attempts.push_back(A);
  if (Variant == ProtocolVariant::DispatchBeforeCommit)
    dispatch(Index);
  if (!A.Forwarded)
    return commitAt(At, Index, false);
  Messages.push_back([this, At, Index] { commitAt(At, Index, true); });
}

void LedgerSimulation::commitAt(std::size_t E, std::size_t Index,
                                bool ForPeer) {
  const Claim NewClaim = Attempts[Index].NewClaim;
  Entries[E].Committer.claim(
      NewClaim, Now, [this, E, Index, ForPeer](const ClaimReply &Reply) {
        if (!ForPeer)
          return onReply(Index, Reply);
        if (Reply.MayBeStored && Variant == ProtocolVariant::PeerReleasesKey)
          recordAt(E, Attempts[Index].NewClaim, Outcome::NotRun, "");
        Messages.push_back([this, Index, Reply] { onReply(Index, Reply); });
      });
}

void LedgerSimulation::callStore(std::size_t E) {
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
    DelayedSwaps.push_back(At.Call->Call);
    At.Call->Reply = StoreReply{StoreReply::Kind::Lost, {}, 0};
    return;
  default:
    At.Call->Reply = execute(At.Call->Call);
  }
}

StoreReply LedgerSimulation::execute(const StoreCall &Call) {
  if (Call.What == StoreCall::Kind::Erase) {
    Stored.erase(Call.Segment);
    return {StoreReply::Kind::Erased, {}, 0};
  }
  StoredValue &Value = Stored[Call.Segment];
  bool Matches = Call.Expected == Value.Revision ||
                 Variant == ProtocolVariant::UnconditionalWrite;
  if (Call.What == StoreCall::Kind::Read || !Matches)
    return {StoreReply::Kind::Found, Value.Bytes, Value.Revision};
  Value = {Call.Value, ++LastRevision};
  return {StoreReply::Kind::Swapped, Value.Bytes, Value.Revision};
}

void LedgerSimulation::deliverReply(std::size_t E) {
  if (!DelayedSwaps.empty() && choose(4) == 0) {
    execute(DelayedSwaps.back());
    DelayedSwaps.pop_back();
    return;
  }
  Entry &At = Entries[E];
  if (!At.Call || !At.Call->Reply)
    return;
  StoreReply Reply = std::move(*At.Call->Reply);
  At.Call.reset();
  At.Committer.complete(std::move(Reply), Now);
}

/// Delivers, duplicates or drops one of the messages in transit.
void LedgerSimulation::deliverMessage() {
  if (Messages.empty())
    return;
  std::size_t Index = choose(static_cast<unsigned>(Messages.size()));
  auto Deliver = Messages[Index];
  unsigned Fault = choose(12);
  if (Fault != 1)
    Messages.erase(Messages.begin() + static_cast<std::ptrdiff_t>(Index));
  if (Fault != 0)
    Deliver();
}

/// An entry that has received no reply to a forwarded claim commits it itself.
void LedgerSimulation::fallBack() {
  for (std::size_t I = 0; I < Attempts.size(); ++I) {
    SimulatedAttempt &A = Attempts[I];
    if (!A.Forwarded || A.FellBack || A.State != Phase::Claiming || !alive(A) ||
        choose(2) == 0)
      continue;
    A.FellBack = true;
    return commitAt(A.Origin, I, false);
  }
}

void LedgerSimulation::onReply(std::size_t Index, const ClaimReply &Reply) {
  SimulatedAttempt &A = Attempts[Index];
  if (!alive(A) || A.State != Phase::Claiming)
    return;
  // If the peer could not commit the claim, the entry tries it itself.
  if (Reply.What == ClaimReply::Kind::Unavailable && A.Forwarded &&
      !A.FellBack) {
    A.FellBack = true;
    return commitAt(A.Origin, Index, false);
  }
  if (Reply.What == ClaimReply::Kind::Claimed) {
    ++Result.Claims;
    return dispatch(Index);
  }
  A.State = Phase::Ended;
  std::size_t E = A.Origin;
  Claim OwnClaim = A.NewClaim;
  if (Reply.What == ClaimReply::Kind::Unavailable &&
      (Reply.MayBeStored || A.Forwarded))
    recordAt(E, OwnClaim, Outcome::NotRun, "");
  if (Reply.What == ClaimReply::Kind::InProgress)
    Messages.push_back([this, E, Held = Reply.Found] { queryAgent(E, Held); });
  if (Reply.What == ClaimReply::Kind::Answered) {
    ++Result.Answers;
    if (Reply.Found.Answer != AnswerOfKey[OwnClaim.Key.str()])
      ++Result.WrongAnswers;
  }
}

void LedgerSimulation::dispatch(std::size_t Index) {
  Attempts[Index].State = Phase::Dispatched;
  Messages.push_back([this, Index] { runAtAgent(Index); });
}

/// The attempt arrives at the agent, which starts each at most once.
void LedgerSimulation::runAtAgent(std::size_t Index) {
  const Claim NewClaim = Attempts[Index].NewClaim;
  if (NewClaim.Holder.AgentIncarnation != AgentProcess.Incarnation)
    return;
  if (!AgentProcess.Seen.insert(NewClaim.Holder.Id).second)
    return;
  const std::string &Key = NewClaim.Key.str();
  ++RunsOfKey[Key];
  ++Result.Runs;
  std::string Answer = "answer to " + NewClaim.Holder.Id;
  AgentProcess.Answers[NewClaim.Holder.Id] = Answer;
  AnswerOfKey[Key] = Answer;
  std::size_t E = Attempts[Index].Origin;
  unsigned ProcessIncarnation = Attempts[Index].OriginIncarnation;
  Messages.push_back([this, E, ProcessIncarnation, NewClaim, Answer] {
    if (Entries[E].ProcessIncarnation == ProcessIncarnation)
      recordAt(E, NewClaim, Outcome::Answered, Answer);
  });
}

/// The origin has received no reply from its attempt and queries the agent.
void LedgerSimulation::queryFromOrigin() {
  if (Attempts.empty() || choose(4) != 0)
    return;
  const SimulatedAttempt &A =
      Attempts[choose(static_cast<unsigned>(Attempts.size()))];
  if (A.State == Phase::Dispatched && alive(A))
    queryAgent(A.Origin, A.NewClaim);
}

/// Queries the agent for the outcome of an attempt, and forbids the attempt if
/// it has not arrived.
void LedgerSimulation::queryAgent(std::size_t E, const Claim &Held) {
  const std::string &Id = Held.Holder.Id;
  if (Held.Holder.AgentIncarnation != AgentProcess.Incarnation) {
    if (Variant == ProtocolVariant::RestartMeansNotRun)
      recordAt(E, Held, Outcome::NotRun, "");
    else if (choose(2) == 0)
      recordAt(E, Held, Outcome::Unknown, "");
    return;
  }
  auto Answer = AgentProcess.Answers.find(Id);
  bool Executed = Answer != AgentProcess.Answers.end();
  AgentProcess.Seen.insert(Id);
  std::string Text = Executed ? Answer->second : "";
  Messages.push_back([this, E, Held, Executed, Text] {
    recordAt(E, Held, Executed ? Outcome::Answered : Outcome::NotRun, Text);
  });
}

void LedgerSimulation::recordAt(std::size_t E, const Claim &Held,
                                Outcome NewOutcome, std::string Answer) {
  // Records may be forwarded to another entry too.
  std::size_t At = choose(3) == 0 ? choose(EntryCount) : E;
  Entries[At].Committer.record(
      {Held.Key, Held.Holder.Id, NewOutcome, std::move(Answer)},
      [](RecordReply) {});
}

void LedgerSimulation::crash() {
  if (choose(2) == 0) {
    ++AgentProcess.Incarnation;
    AgentProcess.Seen.clear();
    AgentProcess.Answers.clear();
    return;
  }
  Entry &At = Entries[choose(EntryCount)];
  if (At.Call && !At.Call->Reply)
    DelayedSwaps.push_back(At.Call->Call);
  unsigned ProcessIncarnation = At.ProcessIncarnation + 1;
  At = Entry(++EntriesStarted);
  At.ProcessIncarnation = ProcessIncarnation;
}

} // namespace rosemarylane::ledger
