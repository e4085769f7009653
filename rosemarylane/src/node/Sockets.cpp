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
  // An option that the system lacks leaves the exchange's own deadlines.
  (void)::setsockopt(Socket, Level, Name, &Value, sizeof(Value));
}

enum class Peeked { Nothing, Bytes, Closed };

Peeked peek(int Socket) {
  char Byte = 0;
  ssize_t Got = ::recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Got > 0)
    return Peeked::Bytes;
  if (Got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    return Peeked::Nothing;
  return Peeked::Closed;
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
  boost::system::error_code Wrong;
  auto Ip =
      asio::ip::make_address(std::string(Address.substr(0, Colon)), Wrong);
  if (Wrong)
    return std::nullopt;
  return Tcp::endpoint(Ip, Port);
}

void detectSilence(Tcp::socket &Socket, std::chrono::milliseconds Silence) {
  int Handle = Socket.native_handle();
  setOption(Handle, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(Silence.count()));
  setOption(Handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPIDLE, 1);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPCNT, 3);
}

bool quiet(Tcp::socket &Socket) {
  return Socket.is_open() && peek(Socket.native_handle()) == Peeked::Nothing;
}

bool closedByPeer(Tcp::socket &Socket) {
  return !Socket.is_open() || peek(Socket.native_handle()) == Peeked::Closed;
}

} // namespace rosemarylane
