#ifndef ROSEMARYLANE_COMMON_RUN_MESSAGES_H
#define ROSEMARYLANE_COMMON_RUN_MESSAGES_H

#include "http/Message.h"
#include "ledger/AttemptTable.h"
#include "wire/wire.pb.h"

namespace rosemarylane {

/// Turns what the decision libraries say of an attempt into messages, and back.
wire::Ran toWire(ledger::Ran Ran);
ledger::Ran fromWire(wire::Ran Ran);

/// Adds one header field to a message that has `headers`.
template <typename Message>
void addHeader(const std::string &Name, const std::string &Value, Message &To) {
  wire::Header &H = *To.add_headers();
  H.set_name(Name);
  H.set_value(Value);
}

/// @return the header fields of a message that has `headers`.
template <typename Message> http::Headers headersOf(const Message &From) {
  http::Headers Fields;
  for (const wire::Header &H : From.headers())
    Fields.add(H.name(), H.value());
  return Fields;
}

/// Tells an entry what became of an attempt, with the answer if it is held.
wire::OutcomeReply outcomeReply(const wire::AttemptId &Id,
                                const ledger::AttemptOutcome &Outcome);

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMON_RUN_MESSAGES_H
