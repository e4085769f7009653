#ifndef ROSEMARYLANE_COMMON_MEMBER_MESSAGES_H
#define ROSEMARYLANE_COMMON_MEMBER_MESSAGES_H

#include "core/Time.h"
#include "routing/Member.h"
#include "routing/Quarantine.h"
#include "wire/wire.pb.h"

#include <chrono>
#include <vector>

namespace rosemarylane {

/// @return the state of the process that sent \p Heartbeat.
routing::Member memberFromWire(const wire::Envelope &Heartbeat);

routing::Member memberFromWire(const wire::MemberSummary &Summary);

/// @param Age time since the member's last heartbeat.
wire::MemberSummary summaryToWire(const routing::Member &M,
                                  std::chrono::milliseconds Age);

/// @return the identity of \p M, as in the sender field of its messages.
wire::Sender senderToWire(const routing::Member &M);

/// Conversions between load reports and the routing library's load.
routing::Load loadFromWire(const wire::LoadReport &Report);
wire::LoadReport loadToWire(const routing::Load &Current);

/// Overwrites the load fields of \p Into with \p Current.
void setLoad(const routing::Load &Current, wire::Holding &Into);

/// Conversions between notices and incidents: requests that were in progress at
/// a target when it died, each with the request's digest, the id of the death
/// and its age. Incidents with a malformed digest are left out; one without an
/// age is taken as new.
std::vector<routing::Quarantine::Incident>
incidentsFromWire(const wire::QuarantineNotice &Notice, core::TimePoint Now);
wire::QuarantineNotice
incidentsToWire(const std::vector<routing::Quarantine::Incident> &Incidents,
                core::TimePoint Now);

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMON_MEMBER_MESSAGES_H
