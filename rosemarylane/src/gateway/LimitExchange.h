#ifndef ROSEMARYLANE_GATEWAY_LIMIT_EXCHANGE_H
#define ROSEMARYLANE_GATEWAY_LIMIT_EXCHANGE_H

#include "core/BootClock.h"
#include "node/PeerSocket.h"
#include "serving/LoadBalancer.h"
#include "serving/PeerTable.h"
#include "wire/node.pb.h"

#include <map>
#include <optional>
#include <string>

namespace rosemarylane {

/// Tells all gateways of the limits that targets name in their answers.
///
/// What this gateway hears goes to the sidecar beside the target, whose reports
/// reach all gateways anyway; for a target without a live sidecar, to all
/// gateways. It is repeated about once a second while the target goes on to say
/// so. Created once by the process; used only on the thread of the event loop;
/// the references passed to the constructor have to outlive it.
class LimitExchange {
public:
  LimitExchange(serving::LoadBalancer &Targets, PeerSocket &Socket,
                const serving::PeerTable &Peers)
      : Targets(Targets), Socket(Socket), Peers(Peers) {}

  /// Takes what a target's answer says.
  /// @param PerSecond empty if it names no limit.
  void heard(const serving::SelectedTarget &Target,
             std::optional<double> PerSecond);

  /// Takes what a peer says, in a message of its own or in a report.
  void received(const wire::NamedLimit &Said);

private:
  void tell(const wire::NamedLimit &Said, core::BootTime Now);

  serving::LoadBalancer &Targets;
  PeerSocket &Socket;
  const serving::PeerTable &Peers;
  /// When each target's limit was last told, by address.
  std::map<std::string, core::BootTime> ToldAt;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_LIMIT_EXCHANGE_H
