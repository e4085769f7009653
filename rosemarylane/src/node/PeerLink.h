#ifndef ROSEMARYLANE_NODE_PEER_LINK_H
#define ROSEMARYLANE_NODE_PEER_LINK_H

#include "node/NodeSettings.h"
#include "serving/PeerTable.h"
#include "wire/node.pb.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace rosemarylane {

/// Datagrams between gateways and sidecars: small, each complete in itself, and
/// without a connection that could go silent.
///
/// A datagram that is lost is made good by the next one; nothing that must
/// arrive is sent this way. Used only on its loop's thread.
class PeerLink {
public:
  /// Gets each message with the IP number that it came from.
  using MessageHook =
      std::function<void(const wire::NodeMessage &, const std::string &Ip)>;

  /// Binds the peer port.
  /// @return nothing if the port is taken; the reason is logged.
  static std::unique_ptr<PeerLink> open(boost::asio::io_context &Loop,
                                        const NodeSettings &Settings,
                                        serving::PeerRole Role,
                                        MessageHook OnMessage);
  ~PeerLink();

  /// Sends \p Message, with the own process as its sender, to the peer port of
  /// \p Ip. Dropped if the socket's buffer is full.
  void send(const std::string &Ip, wire::NodeMessage Message);

  /// What later messages say of the own process's way to the store.
  void setStoreLost(bool Lost);

  struct State;

private:
  explicit PeerLink(std::shared_ptr<State> S);
  std::shared_ptr<State> S;
};

/// @return the wire form of a peer's role, and back.
wire::NodeRole toWire(serving::PeerRole Role);
serving::Peer peerFromWire(const wire::Node &From);
wire::Node peerToWire(const serving::Peer &From);

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_PEER_LINK_H
