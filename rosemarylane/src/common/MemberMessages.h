#ifndef ROSEMARYLANE_COMMON_MEMBER_MESSAGES_H
#define ROSEMARYLANE_COMMON_MEMBER_MESSAGES_H

#include "routing/Member.h"
#include "wire/wire.pb.h"

#include <chrono>

namespace rosemarylane {

/// @return the sender of a heartbeat, in the terms of the routing decisions.
routing::Member memberFrom(const wire::Envelope &Heartbeat);

routing::Member memberFrom(const wire::MemberSummary &Summary);

/// @param Age how long ago the member was last heard from.
wire::MemberSummary summaryOf(const routing::Member &M,
                              std::chrono::milliseconds Age);

/// @return what identifies \p M as a peer.
wire::Sender senderOf(const routing::Member &M);

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMON_MEMBER_MESSAGES_H
