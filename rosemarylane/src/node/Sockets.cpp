#include "node/Sockets.h"

#include <boost/asio/ip/address.hpp>
#include <cerrno>
#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace rosemarylane {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

void setOption(int Socket, int Level, int Name, int Value) {
  // A failure is ignored: each exchange has a deadline of its own.
  (void)::setsockopt(Socket, Level, Name, &Value, sizeof(Value));
}

enum class PeekResult { WouldBlock, Data, Closed };

PeekResult peek(int Socket) {
  char Byte = 0;
  ssize_t Received = ::recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Received > 0)
    return PeekResult::Data;
  if (Received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    return PeekResult::WouldBlock;
  return PeekResult::Closed;
}

} // namespace

std::optional<Tcp::endpoint> parseEndpoint(std::string_view Address) {
  std::size_t Colon = Address.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::uint16_t Port = 0;
  const char *End = Address.data() + Address.size();
  auto Parsed = std::from_chars(Address.data() + Colon + 1, End, Port);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  boost::system::error_code Failed;
  auto Ip =
      asio::ip::make_address(std::string(Address.substr(0, Colon)), Failed);
  if (Failed)
    return std::nullopt;
  return Tcp::endpoint(Ip, Port);
}

void enableDeadPeerDetection(Tcp::socket &Socket,
                             std::chrono::milliseconds Timeout) {
  int Handle = Socket.native_handle();
  setOption(Handle, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(Timeout.count()));
  setOption(Handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  // Linux closes a connection after `TCP_USER_TIMEOUT` without acknowledgement,
  // and then ignores `TCP_KEEPCNT`; the count applies only if setting the time
  // above has failed, or after `tolerateUnreadBytes`.
  setOption(Handle, IPPROTO_TCP, TCP_KEEPIDLE, /*Seconds=*/1);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPINTVL, /*Seconds=*/1);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPCNT, /*Probes=*/3);
}

void tolerateUnreadBytes(Tcp::socket &Socket) {
  setOption(Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, 0);
}

bool isIdle(Tcp::socket &Socket) {
  return Socket.is_open() &&
         peek(Socket.native_handle()) == PeekResult::WouldBlock;
}

void sendNow(Tcp::socket &Socket, std::string_view Bytes) {
  // What could not be sent is lost: the connection is about to be closed.
  (void)::send(Socket.native_handle(), Bytes.data(), Bytes.size(),
               MSG_DONTWAIT | MSG_NOSIGNAL);
}

bool closedByPeer(Tcp::socket &Socket) {
  return !Socket.is_open() ||
         peek(Socket.native_handle()) == PeekResult::Closed;
}

void resetOnClose(Tcp::socket &Socket, bool Reset) {
  // A failure is ignored: the connection is then closed plainly.
  boost::system::error_code Ignored;
  Socket.set_option(asio::socket_base::linger(Reset, /*timeout=*/0), Ignored);
}

} // namespace rosemarylane
