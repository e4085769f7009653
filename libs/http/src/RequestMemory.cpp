#include "http/RequestMemory.h"

namespace rosemarylane::http {

void RequestMemory::Share::hold(Kind NewKind, std::size_t NewBytes) {
  release();
  if (NewBytes == 0)
    return;
  Now = NewKind;
  Bytes = NewBytes;
  Of.Sums[Now] += Bytes;
  if (Now == Unfinished)
    Of.UnfinishedShares.emplace(Bytes, this);
  if (Now == Unread)
    Position = Of.UnreadShares.insert(Of.UnreadShares.end(), this);
  Of.makeRoom();
}

void RequestMemory::Share::setUnfinished(std::size_t NewBytes) {
  hold(Unfinished, NewBytes);
}

bool RequestMemory::Share::tryBegin(std::size_t NewBytes) {
  release();
  if (!Of.hasRoom(NewBytes))
    return false;
  hold(InProgress, NewBytes);
  return true;
}

void RequestMemory::Share::setInProgress(std::size_t NewBytes) {
  hold(InProgress, NewBytes);
}

void RequestMemory::Share::setUnread(std::size_t NewBytes) {
  if (Now != Unread || Bytes == 0 || NewBytes == 0)
    return hold(Unread, NewBytes);
  // Keeps its place among the unread ones.
  Of.Sums[Unread] += NewBytes - Bytes;
  Bytes = NewBytes;
  Of.makeRoom();
}

void RequestMemory::Share::setTaken(std::size_t BytesLeft) {
  hold(Unread, BytesLeft);
}

void RequestMemory::Share::release() {
  if (Bytes == 0)
    return;
  if (Now == Unfinished)
    Of.UnfinishedShares.erase({Bytes, this});
  if (Now == Unread)
    Of.UnreadShares.erase(Position);
  Of.Sums[Now] -= std::exchange(Bytes, 0);
}

bool RequestMemory::hasRoom(std::size_t Bytes) const {
  std::size_t InProgress = Sums[Share::InProgress];
  if (InProgress == 0)
    return true;
  return InProgress < MaxBytes && Bytes <= (MaxBytes - InProgress) / 2;
}

void RequestMemory::makeRoom() {
  while (Sums[Share::Unfinished] > 0 &&
         Sums[Share::Unfinished] + Sums[Share::InProgress] > MaxBytes)
    evict(*UnfinishedShares.rbegin()->second);
  // A single answer is delivered whatever its size.
  while (Sums[Share::Unread] > maxUnread() && UnreadShares.size() > 1)
    evict(*UnreadShares.front());
}

void RequestMemory::evict(Share &S) {
  S.release();
  S.Evict();
}

} // namespace rosemarylane::http
