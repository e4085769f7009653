#ifndef ROSEMARYLANE_NODE_SOCKETS_H
#define ROSEMARYLANE_NODE_SOCKETS_H

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <optional>
#include <string_view>

namespace rosemarylane {

/// @return the endpoint, or nothing if \p Address is not `IP:port`.
std::optional<boost::asio::ip::tcp::endpoint>
parseEndpoint(std::string_view Address);

/// Sets the TCP options for fast detection of an unresponsive peer, and
/// disables Nagle's algorithm. The connection fails if sent bytes or keep-alive
/// probes stay unacknowledged for \p Timeout. Probes are sent once a second
/// while the connection is idle.
void enableDeadPeerDetection(boost::asio::ip::tcp::socket &Socket,
                             std::chrono::milliseconds Timeout);

/// Lets the peer leave bytes unread for any time. Linux counts a receive window
/// that stays closed like bytes that are not acknowledged. Of the detection
/// above, the probes of an idle connection remain.
void tolerateUnreadBytes(boost::asio::ip::tcp::socket &Socket);

/// @return whether a connection that is not in use can be reused: it is open
/// and there are no unread bytes.
bool isIdle(boost::asio::ip::tcp::socket &Socket);

/// Sends as much of \p Bytes as the system takes without a wait.
void sendNow(boost::asio::ip::tcp::socket &Socket, std::string_view Bytes);

/// @return whether the peer has closed the connection. While there are unread
/// bytes, it counts as open.
bool closedByPeer(boost::asio::ip::tcp::socket &Socket);

/// Sets whether closing the connection, also by a timeout of its stream, resets
/// it. A reset withdraws the bytes that the peer's host has not received yet,
/// whereas a plain close still delivers them.
void resetOnClose(boost::asio::ip::tcp::socket &Socket, bool Reset);

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_SOCKETS_H
