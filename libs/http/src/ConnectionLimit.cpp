#include "http/ConnectionLimit.h"

namespace rosemarylane::http {

ConnectionLimit::Place::Place(ConnectionLimit &Of, std::function<void()> Close)
    : Of(Of), Close(std::move(Close)),
      Position(Of.Waiting.insert(Of.Waiting.end(), this)) {
  ++Of.Open;
}

void ConnectionLimit::Place::stopWaiting() {
  if (Now == State::Waiting)
    Of.Waiting.erase(Position);
}

void ConnectionLimit::Place::beginRequest() {
  if (Now == State::Left)
    return;
  stopWaiting();
  Now = State::InProgress;
}

void ConnectionLimit::Place::endRequest() {
  if (Now != State::InProgress)
    return;
  Now = State::Waiting;
  Position = Of.Waiting.insert(Of.Waiting.end(), this);
}

void ConnectionLimit::Place::endLast() {
  if (Now == State::Left)
    return;
  stopWaiting();
  Now = State::Waiting;
  Position = Of.Waiting.insert(Of.Waiting.begin(), this);
}

void ConnectionLimit::Place::leave() {
  if (Now == State::Left)
    return;
  stopWaiting();
  Now = State::Left;
  --Of.Open;
}

bool ConnectionLimit::makeRoom() {
  while (Open >= MaxConnections && !Waiting.empty()) {
    Place *Longest = Waiting.front();
    Longest->leave();
    // The call may destroy the place.
    auto Close = std::move(Longest->Close);
    Close();
  }
  return Open < MaxConnections;
}

} // namespace rosemarylane::http
