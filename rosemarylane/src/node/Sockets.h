#ifndef ROSEMARYLANE_NODE_SOCKETS_H
#define ROSEMARYLANE_NODE_SOCKETS_H

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <optional>
#include <string_view>

namespace rosemarylane {

/// @return nothing if \p Address is not `IP:port`.
std::optional<boost::asio::ip::tcp::endpoint>
parseEndpoint(std::string_view Address);

/// Sends small writes at once, and finds a connection on which the other end
/// has gone silent: unacknowledged bytes and unanswered keep-alive probes end
/// it within \p Silence.
void detectSilence(boost::asio::ip::tcp::socket &Socket,
                   std::chrono::milliseconds Silence);

/// @return whether an idle connection can be used: nothing has come on it, and
/// it has not been closed.
bool quiet(boost::asio::ip::tcp::socket &Socket);

/// @return whether the other end has closed the connection; unread bytes alone
/// do not count.
bool closedByPeer(boost::asio::ip::tcp::socket &Socket);

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_SOCKETS_H
