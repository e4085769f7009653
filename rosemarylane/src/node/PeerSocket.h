#ifndef ROSEMARYLANE_NODE_PEER_SOCKET_H
#define ROSEMARYLANE_NODE_PEER_SOCKET_H

#include "node/NodeSettings.h"
#include "serving/PeerTable.h"
#include "wire/node.pb.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace rosemarylane {

/// UDP socket for messages between gateways and sidecars.
///
/// Messages are small and self-contained, and there is no connection that could
/// break unnoticed. The next message makes up for a lost one; nothing that must
/// arrive is sent this way. Used only on its loop's thread.
class PeerSocket {
public:
  /// Called with each message and the IP address of its sender.
  using MessageHook =
      std::function<void(const wire::NodeMessage &, const std::string &Ip)>;

  /// Binds the peer port.
  /// @return null if that fails; the reason is logged.
  static std::unique_ptr<PeerSocket> open(boost::asio::io_context &Loop,
                                          const NodeSettings &Settings,
                                          serving::PeerRole Role,
                                          MessageHook OnMessage);
  ~PeerSocket();

  /// Sends \p Message, with this process as its sender, to the peer port of
  /// \p Ip. Dropped if the socket's buffer is full.
  void send(const std::string &Ip, wire::NodeMessage Message);

  /// Sets whether later messages report that this process cannot reach the
  /// store.
  void setStoreLost(bool Lost);

  struct State;

private:
  explicit PeerSocket(std::shared_ptr<State> S);
  std::shared_ptr<State> S;
};

/// Conversions between peers and their wire form.
wire::NodeRole toWire(serving::PeerRole Role);
serving::Peer peerFromWire(const wire::Node &From);
wire::Node peerToWire(const serving::Peer &From);

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_PEER_SOCKET_H
