#ifndef ROSEMARYLANE_HTTP_SOCKET_BUFFERS_H
#define ROSEMARYLANE_HTTP_SOCKET_BUFFERS_H

#include <boost/asio/ip/tcp.hpp>

namespace rosemarylane::http {

/// Bounds what the system keeps, in each direction, of bytes that were sent on
/// the connections of \p Acceptor and not taken yet. Call it before `listen`.
/// @return why it failed.
boost::system::error_code
limitSocketBuffers(boost::asio::ip::tcp::acceptor &Acceptor);

} // namespace rosemarylane::http

#endif // ROSEMARYLANE_HTTP_SOCKET_BUFFERS_H
