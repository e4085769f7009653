#include "http/SocketBuffers.h"

namespace rosemarylane::http {

namespace {

/// The system keeps about twice as much. Less than two segments of the loopback
/// interface would wait for delayed acknowledgements.
constexpr int BufferBytes = 64 << 10;

} // namespace

boost::system::error_code
limitSocketBuffers(boost::asio::ip::tcp::acceptor &Acceptor) {
  boost::system::error_code Failed;
  Acceptor.set_option(boost::asio::socket_base::send_buffer_size(BufferBytes),
                      Failed);
  if (!Failed)
    Acceptor.set_option(
        boost::asio::socket_base::receive_buffer_size(BufferBytes), Failed);
  return Failed;
}

} // namespace rosemarylane::http
