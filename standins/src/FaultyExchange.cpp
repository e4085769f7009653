#include "FaultyExchange.h"

namespace rosemarylane::standins {

void holdUnanswered(std::shared_ptr<http::Exchange> Silent) {
  http::Exchange &Held = *Silent;
  // The hook is dropped with its exchange when the caller has gone.
  Held.onGone([Silent = std::move(Silent)] {});
}

FaultyExchange::~FaultyExchange() {
  if (silent())
    holdUnanswered(Inner);
}

void FaultyExchange::respond(http::Response Whole) {
  if (silent())
    return;
  if (Fault == AnswerFault::Lose)
    return Inner->abort();
  if (Fault == AnswerFault::None)
    return Inner->respond(std::move(Whole));
  Inner->startStream(Whole.Head);
  Inner->write(Whole.Body.substr(0, Whole.Body.size() / 2));
  Inner->abort();
}

void FaultyExchange::startStream(http::ResponseHead Head) {
  if (silent())
    return;
  if (Fault == AnswerFault::Lose)
    return Inner->abort();
  Inner->startStream(std::move(Head));
}

void FaultyExchange::write(std::string Part) {
  if (silent())
    return;
  if (Fault == AnswerFault::Cut)
    return Inner->abort();
  Inner->write(std::move(Part));
}

void FaultyExchange::finish() {
  if (!silent())
    Inner->finish();
}

} // namespace rosemarylane::standins
