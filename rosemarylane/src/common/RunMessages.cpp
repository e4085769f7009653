#include "common/RunMessages.h"

namespace rosemarylane {

wire::Ran toWire(ledger::Ran Ran) {
  switch (Ran) {
  case ledger::Ran::No:
    return wire::RAN_NO;
  case ledger::Ran::Yes:
    return wire::RAN_YES;
  case ledger::Ran::Unknown:
    return wire::RAN_UNKNOWN;
  }
  return wire::RAN_UNKNOWN;
}

ledger::Ran fromWire(wire::Ran Ran) {
  switch (Ran) {
  case wire::RAN_NO:
    return ledger::Ran::No;
  case wire::RAN_YES:
    return ledger::Ran::Yes;
  default:
    // Values added by later versions do not tell whether the attempt ran.
    return ledger::Ran::Unknown;
  }
}

wire::OutcomeReply outcomeReply(const wire::AttemptId &Id,
                                const ledger::AttemptOutcome &Outcome) {
  wire::OutcomeReply Reply;
  *Reply.mutable_id() = Id;
  // `What` says whether the attempt ran.
  Reply.set_ran(toWire(Outcome.What));
  Reply.set_in_progress(Outcome.InProgress);
  if (!Outcome.Answer)
    return Reply;
  Reply.set_held(true);
  Reply.set_status(Outcome.Answer->Status);
  Reply.set_body(Outcome.Answer->Body);
  for (const auto &[Name, Value] : Outcome.Answer->Headers)
    addHeader(Name, Value, Reply);
  return Reply;
}

} // namespace rosemarylane
