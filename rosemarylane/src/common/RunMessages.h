#ifndef ROSEMARYLANE_COMMON_RUN_MESSAGES_H
#define ROSEMARYLANE_COMMON_RUN_MESSAGES_H

#include "http/Message.h"
#include "ledger/AttemptTable.h"
#include "wire/wire.pb.h"

namespace rosemarylane {

/// Conversions between the ledger's knowledge of whether an attempt ran and its
/// wire form.
wire::Ran toWire(ledger::Ran Ran);
ledger::Ran fromWire(wire::Ran Ran);

/// Adds a header field to a message with a repeated field `headers`.
template <typename Message>
void addHeader(const std::string &Name, const std::string &Value, Message &To) {
  wire::Header &H = *To.add_headers();
  H.set_name(Name);
  H.set_value(Value);
}

/// @return the header fields of a message with a repeated field `headers`.
template <typename Message> http::Headers headersOf(const Message &From) {
  http::Headers Fields;
  for (const wire::Header &H : From.headers())
    Fields.add(H.name(), H.value());
  return Fields;
}

/// @return the message that reports an attempt's outcome to an entry, with the
/// target's response if it is still held.
wire::OutcomeReply outcomeReply(const wire::AttemptId &Id,
                                const ledger::AttemptOutcome &Outcome);

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMON_RUN_MESSAGES_H
