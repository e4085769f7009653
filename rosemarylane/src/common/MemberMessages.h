#ifndef ROSEMARYLANE_COMMON_MEMBER_MESSAGES_H
#define ROSEMARYLANE_COMMON_MEMBER_MESSAGES_H

#include "routing/Member.h"
#include "routing/Quarantine.h"
#include "wire/wire.pb.h"

#include <chrono>
#include <vector>

namespace rosemarylane {

/// @return the sender of a heartbeat, in the terms of the routing decisions.
routing::Member memberFrom(const wire::Envelope &Heartbeat);

routing::Member memberFrom(const wire::MemberSummary &Summary);

/// @param Age how long ago the member was last heard from.
wire::MemberSummary summaryOf(const routing::Member &M,
                              std::chrono::milliseconds Age);

/// @return what identifies \p M as a peer.
wire::Sender senderOf(const routing::Member &M);

routing::Load loadOf(const wire::LoadReport &Report);
wire::LoadReport reportOf(const routing::Load &Now);
void setLoad(const routing::Load &Now, wire::Holding &Of);

std::vector<routing::Quarantine::Incident>
incidentsFrom(const wire::QuarantineNotice &Notice);
wire::QuarantineNotice
noticeOf(const std::vector<routing::Quarantine::Incident> &Incidents);

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMON_MEMBER_MESSAGES_H
