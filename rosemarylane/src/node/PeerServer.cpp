#include "node/PeerServer.h"

#include "http/ConnectionLimit.h"
#include "http/LimitedParser.h"
#include "http/SocketBuffers.h"
#include "node/Sockets.h"
#include "swarm/TokenBucket.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>

namespace rosemarylane {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http_ = boost::beast::http;
using Tcp = asio::ip::tcp;

namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds IdleTimeout{10};
constexpr std::chrono::seconds WriteTimeout{10};
/// See `enableDeadPeerDetection`.
constexpr std::chrono::milliseconds DeadPeerTimeout{3000};
constexpr std::chrono::milliseconds AcceptRetryDelay{50};
/// Responses with a body of at least this size are rate limited. Also the burst
/// of the rate limit: the number of bytes that may be sent at once after a
/// pause.
constexpr std::size_t LargeResponseBytes = 8 << 10;
constexpr std::chrono::milliseconds LargeWritePollPeriod{4};
/// Limits of a request, which has no body but what a foreign client may send.
constexpr std::size_t MaxHeadBytes = 4 << 10;
constexpr std::size_t MaxBodyBytes = 4 << 10;
/// Limit of the bytes of a request that are kept until they can be parsed.
constexpr std::size_t MaxUnparsedBytes = 8 << 10;

/// A large response that waits for the rate limit.
struct WaitingResponse {
  std::uint64_t Ticket = 0;
  /// Target of its request.
  std::string Target;
};

http::Request fromBeast(http_::request<http_::string_body> &&From) {
  http::Request To;
  auto Method = From.method_string();
  To.Method = std::string(Method.data(), Method.size());
  To.Target = std::string(From.target().data(), From.target().size());
  To.Body = std::move(From.body());
  return To;
}

} // namespace

struct PeerServer::State : std::enable_shared_from_this<PeerServer::State> {
  State(asio::io_context &Loop, Handler OnRequest,
        std::uint64_t LargeResponseRate, std::size_t MaxConnections)
      : LargeWrites(LargeResponseRate, LargeResponseBytes),
        Connections(MaxConnections), Loop(Loop), Acceptor(Loop),
        OnRequest(std::move(OnRequest)) {}

  asio::awaitable<void> accept() {
    auto Self = shared_from_this();
    while (Acceptor.is_open()) {
      auto [Failed, Socket] = co_await Acceptor.async_accept(Await);
      if (Failed == asio::error::operation_aborted)
        co_return;
      if (Failed) {
        asio::steady_timer Pause(Loop, AcceptRetryDelay);
        co_await Pause.async_wait(Await);
        continue;
      }
      if (!Connections.makeRoom())
        continue;
      enableDeadPeerDetection(Socket, DeadPeerTimeout);
      asio::co_spawn(Loop, serve(Self, std::move(Socket)), asio::detached);
    }
  }

  static asio::awaitable<void> serve(std::shared_ptr<State> Self,
                                     Tcp::socket Socket) {
    beast::tcp_stream Stream(std::move(Socket));
    http::ConnectionLimit::Place Place(Self->Connections, [&Stream] {
      boost::system::error_code Ignored; // It is unusable either way.
      Stream.socket().close(Ignored);
    });
    beast::flat_buffer Buffer(MaxUnparsedBytes);
    for (;;) {
      http::LimitedParser<true, http_::string_body> Incoming(MaxHeadBytes);
      Incoming.body_limit(MaxBodyBytes);
      Stream.expires_after(IdleTimeout);
      auto [ReadFailed, Read] =
          co_await http_::async_read(Stream, Buffer, Incoming, Await);
      if (ReadFailed)
        co_return;
      Place.beginRequest();
      http_::request<http_::string_body> Message = Incoming.release();
      bool KeepOpen = Message.keep_alive();
      std::string Target(Message.target().data(), Message.target().size());
      http::Response Answer =
          co_await Self->OnRequest(fromBeast(std::move(Message)));
      http_::response<http_::string_body> Out;
      Out.version(11);
      Out.result(Answer.Head.Status);
      for (const auto &[Name, Value] : Answer.Head.Fields)
        Out.set(Name, Value);
      Out.body() = std::move(Answer.Body);
      Out.keep_alive(KeepOpen);
      Out.prepare_payload();
      bool Large = Out.body().size() >= LargeResponseBytes;
      if (Large) {
        bool Open = co_await Self->acquireLargeWrite(
            Stream.socket(), Out.body().size(), std::move(Target));
        if (!Open)
          co_return;
      }
      Stream.expires_after(WriteTimeout);
      auto [WriteFailed, Written] =
          co_await http_::async_write(Stream, Out, Await);
      if (WriteFailed || !KeepOpen)
        co_return;
      Place.endRequest();
    }
  }

  /// Waits until the rate limit admits a large response, in the order of the
  /// requests, and deducts its size.
  /// @return false if the client has closed the connection meanwhile.
  asio::awaitable<bool> acquireLargeWrite(Tcp::socket &To, std::size_t Bytes,
                                          std::string Target) {
    std::uint64_t Ticket = NextTicket++;
    Waiting.push_back({Ticket, std::move(Target)});
    asio::steady_timer Pause(Loop);
    while (Waiting.front().Ticket != Ticket ||
           !LargeWrites.ready(std::chrono::steady_clock::now())) {
      Pause.expires_after(LargeWritePollPeriod);
      co_await Pause.async_wait(Await);
    }
    Waiting.pop_front();
    if (closedByPeer(To))
      co_return false;
    LargeWrites.take(Bytes, std::chrono::steady_clock::now());
    co_return true;
  }

  swarm::TokenBucket LargeWrites;
  /// The large responses that wait, in the order of their requests.
  std::deque<WaitingResponse> Waiting;
  std::uint64_t NextTicket = 0;
  http::ConnectionLimit Connections;
  asio::io_context &Loop;
  Tcp::acceptor Acceptor;
  Handler OnRequest;
};

std::unique_ptr<PeerServer> PeerServer::listen(asio::io_context &Loop,
                                               const std::string &Address,
                                               Handler OnRequest,
                                               std::uint64_t LargeRate,
                                               std::size_t MaxConnections) {
  auto S = std::make_shared<State>(Loop, std::move(OnRequest), LargeRate,
                                   MaxConnections);
  boost::system::error_code Failed = asio::error::invalid_argument;
  if (auto Endpoint = parseEndpoint(Address)) {
    S->Acceptor.open(Tcp::v4(), Failed);
    if (!Failed)
      S->Acceptor.set_option(Tcp::acceptor::reuse_address(true), Failed);
    if (!Failed)
      Failed = http::limitSocketBuffers(S->Acceptor);
    if (!Failed)
      S->Acceptor.bind(*Endpoint, Failed);
    if (!Failed)
      S->Acceptor.listen(asio::socket_base::max_listen_connections, Failed);
  }
  if (Failed) {
    telemetry::log(telemetry::Level::Error, "cannot listen on the address",
                   {{"address", Address}, {"error", Failed.message()}});
    return nullptr;
  }
  asio::co_spawn(
      Loop, [S]() -> asio::awaitable<void> { co_await S->accept(); },
      asio::detached);
  return std::unique_ptr<PeerServer>(new PeerServer(std::move(S)));
}

PeerServer::PeerServer(std::shared_ptr<State> S) : S(std::move(S)) {}

void PeerServer::setLargeResponseRate(std::uint64_t BytesPerSecond) {
  S->LargeWrites.setRate(BytesPerSecond, std::chrono::steady_clock::now());
}

std::size_t PeerServer::waitingLargeResponses(
    const std::function<bool(std::string_view Target)> &IsCounted) const {
  return static_cast<std::size_t>(std::count_if(
      S->Waiting.begin(), S->Waiting.end(),
      [&](const WaitingResponse &W) { return IsCounted(W.Target); }));
}

PeerServer::~PeerServer() {
  // Closing ends `accept`. Open connections share the state and go on. An error
  // is ignored, as there is nothing left to do with the acceptor.
  boost::system::error_code Ignored;
  S->Acceptor.close(Ignored);
}

} // namespace rosemarylane
