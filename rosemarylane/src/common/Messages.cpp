#include "common/Messages.h"

namespace rosemarylane {

bool MessageSender::send(const wire::Peer &To, wire::Envelope Message) const {
  // Components are created before the peer node.
  if (!Context.Peers)
    return false;
  const Settings &Config = Context.Config;
  wire::Sender &Sender = *Message.mutable_sender();
  Sender.set_host(Config.Host.str());
  Sender.set_role(Role);
  Sender.set_region(Config.Region.str());
  Sender.set_failure_domain(Config.FailureDomain.str());
  Sender.set_peer_address(Config.PeerAddress);
  Sender.set_incarnation(Context.Incarnation);
  auto Uptime = std::chrono::steady_clock::now() - Context.StartedAt;
  Sender.set_time_ms(
      std::chrono::duration_cast<std::chrono::milliseconds>(Uptime).count());
  if (Configuration)
    Message.set_revision(Configuration->current()->Revision);
  return Context.Peers->send(To, Message);
}

} // namespace rosemarylane
