#include "serving/LoadProof.h"

#include <algorithm>

namespace rosemarylane::serving {

using core::BootTime;

void LoadProof::observe(const TargetOrders &State, BootTime From,
                        BootTime Now) {
  if (!Last) {
    startAnew(State);
    EarlierProcessOrders = State.Accepted;
    // What is still being loaded cannot be read back: the process that ran
    // here before may have written chunks since.
    MustUnload = State.Busy;
    AwaitsVerdict = State.Accepted > 0;
    VerdictUntil = Now + VerdictTime;
    takeStartedWith(State);
  } else if (State.StartTimeMs != Last->StartTimeMs) {
    startAnew(State);
    EarlierProcessOrders.reset();
    takeStartedWith(State);
  } else if (State.Accepted < Last->Accepted) {
    return; // An earlier state, received once more.
  } else if (State.Accepted > Last->Accepted) {
    Held = acceptance(State, Now);
    // `Sending` stays until its answer tells whose order was accepted.
    Unanswered.reset();
    Announced.reset();
    MustUnload = false;
    FailedReadBacks = 0;
  }
  Last = State;
  LastFrom = From;
  AwaitsVerdict &= Now < VerdictUntil;
}

/// Without any order, the target holds only what it was started with.
void LoadProof::takeStartedWith(const TargetOrders &State) {
  if (State.Accepted == 0)
    Held.Whole = State.Loaded;
}

void LoadProof::startAnew(const TargetOrders &State) {
  Sending.reset();
  Unanswered.reset();
  Announced.reset();
  MustUnload = false;
  FailedReadBacks = 0;
  Held = {State.Accepted, std::nullopt, LastFrom};
}

LoadProof::Acceptance LoadProof::acceptance(const TargetOrders &State,
                                            BootTime Now) const {
  if (Announced && Announced->Number == State.Accepted)
    return *Announced;
  Acceptance Result{State.Accepted, std::nullopt, LastFrom};
  auto Open = openOrders();
  if (!Open || Open->Precondition != Last->Accepted ||
      State.Accepted != Last->Accepted + 1)
    return Result;
  // It may be the order of the process that ran here before.
  if (EarlierProcessOrders == Last->Accepted)
    return Result;
  if (Now - Open->OldestWrite <= Tolerance)
    Result.Whole = Open->Version;
  Result.From = std::max(LastFrom, Open->SentAt);
  return Result;
}

std::optional<LoadProof::OpenOrder> LoadProof::openOrders() const {
  if (!Sending || !Unanswered)
    return Sending ? Sending : Unanswered;
  OpenOrder Both;
  if (Sending->Version == Unanswered->Version)
    Both.Version = Sending->Version;
  Both.OldestWrite = std::min(Sending->OldestWrite, Unanswered->OldestWrite);
  Both.SentAt = std::min(Sending->SentAt, Unanswered->SentAt);
  Both.Precondition = Sending->Precondition;
  return Both;
}

void LoadProof::orderSent(std::uint64_t Version, BootTime OldestWrite,
                          BootTime Now) {
  Sending = {Version, OldestWrite, Now, Last ? Last->Accepted : 0};
}

void LoadProof::orderAnswered(Answer Kind, BootTime Now) {
  // A restart of the target ends its orders.
  if (!Sending || !Last)
    return;
  OpenOrder Answered = *Sending;
  bool ShownBefore = Last->Accepted > Answered.Precondition;
  if (Kind == Answer::Begun)
    recordBegun(Answered, Now);
  else if (Kind == Answer::None && !ShownBefore)
    Unanswered = openOrders();
  else if (Kind == Answer::Refused && ShownBefore) {
    // What the state showed was another order.
    Held.Whole.reset();
    MustUnload = true;
  }
  Sending.reset();
}

void LoadProof::recordBegun(const OpenOrder &Order, BootTime Now) {
  Acceptance Begun{Order.Precondition + 1, std::nullopt, Order.SentAt};
  if (Now - Order.OldestWrite <= Tolerance)
    Begun.Whole = Order.Version;
  if (Last->Accepted < Begun.Number)
    Announced = Begun;
  else if (Last->Accepted == Begun.Number)
    Held = Begun;
  // Their precondition does not hold any more.
  Unanswered.reset();
}

void LoadProof::recordReadBack(ReadBack Found, const TargetOrders &Judged) {
  if (!Last || !(*Last == Judged))
    return;
  switch (Found) {
  case ReadBack::Whole:
    Held.Whole = Judged.Loaded;
    break;
  case ReadBack::Spoilt:
    MustUnload = true;
    break;
  case ReadBack::Failed:
    MustUnload |= ++FailedReadBacks >= MaxFailedReadBacks;
    break;
  }
}

bool LoadProof::inDoubt() const {
  return Last && !Last->Busy && Last->Loaded != 0 && Held.Whole != Last->Loaded;
}

bool LoadProof::isUnprovable() const {
  // A chunk that was written since may have been bad before.
  bool WrittenSince = LastWrite && *LastWrite >= Held.From;
  return MustUnload || WrittenSince;
}

bool LoadProof::takeVerdict(const LoadVerdict &Given) {
  bool TellsOfLoad = beganBefore() && Given.StartTimeMs == Last->StartTimeMs &&
                     Given.Orders == Last->Accepted;
  if (!TellsOfLoad || Held.Whole == Given.Version)
    return false;
  AwaitsVerdict = false;
  MustUnload = !Given.Whole;
  Held.Whole.reset();
  if (Given.Whole)
    Held.Whole = Given.Version;
  return true;
}

std::optional<LoadVerdict> LoadProof::verdict() const {
  if (!Last || Held.Number != Last->Accepted)
    return std::nullopt;
  if (Held.Whole && *Held.Whole != 0)
    return LoadVerdict{Last->StartTimeMs, Last->Accepted, *Held.Whole, true};
  // What this process did not see begin, another may know to be whole.
  if (beganBefore() || Last->Loaded == 0 || !isUnprovable())
    return std::nullopt;
  return LoadVerdict{Last->StartTimeMs, Last->Accepted, Last->Loaded, false};
}

bool LoadProof::seeksVerdict() const {
  return beganBefore() && inDoubt() && !Sending && !Unanswered && !Announced;
}

LoadProof::Step LoadProof::step() const {
  if (!inDoubt())
    return Step::None;
  if (!isUnprovable())
    return Step::ReadBack;
  return AwaitsVerdict ? Step::None : Step::Unload;
}

bool LoadProof::isProven() const {
  return !inDoubt() && !Sending && !Unanswered && !Announced;
}

} // namespace rosemarylane::serving
