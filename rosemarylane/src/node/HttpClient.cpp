#include "node/HttpClient.h"

#include "http/LimitedParser.h"
#include "node/Sockets.h"
#include "node/TransferCounts.h"
#include "telemetry/Log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <optional>
#include <vector>

namespace rosemarylane {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);
/// Connections that have been idle for longer are closed and not reused.
constexpr std::chrono::milliseconds IdleTimeout{2000};
/// Minimum time between two searches for expired idle connections.
constexpr std::chrono::milliseconds EvictionPeriod{500};
constexpr std::size_t MaxIdlePerAddress = 4;
/// Limit of the head of a response.
constexpr std::size_t MaxHeadBytes = 8 << 10;
/// Limit of a head together with the interim responses before it.
constexpr std::size_t MaxInterimBytes = 64 << 10;
/// Limit of the bytes of a response that are kept until they can be parsed. The
/// parser itself limits only the head and the body, not the extension of a
/// chunk or the trailer.
constexpr std::size_t MaxUnparsedBytes = 64 << 10;
constexpr std::chrono::milliseconds ConnectTimeout{400};
/// See `enableDeadPeerDetection`.
constexpr std::chrono::milliseconds DeadPeerTimeout{1500};

struct IdleConnection {
  std::unique_ptr<beast::tcp_stream> Stream;
  core::BootTime IdleSince;
};

beast::http::request<beast::http::string_body>
toBeast(const std::string &Address, http::Request &&From) {
  beast::http::request<beast::http::string_body> To;
  To.version(11);
  To.method_string(From.Method);
  To.target(From.Target);
  To.set(beast::http::field::host, Address);
  for (const auto &[Name, Value] : From.Fields)
    To.set(Name, Value);
  To.body() = std::move(From.Body);
  To.prepare_payload();
  return To;
}

http::Response
fromBeast(beast::http::response<beast::http::string_body> &&From) {
  http::Response To;
  To.Head.Status = From.result_int();
  for (const auto &Field : From)
    To.Head.Fields.add(
        std::string(Field.name_string().data(), Field.name_string().size()),
        std::string(Field.value().data(), Field.value().size()));
  To.Body = std::move(From.body());
  return To;
}

using BodyParser = http::LimitedParser<false, beast::http::string_body>;

/// Logs that \p Address has sent no answer, but a head without a status.
http::Error noAnswer(const std::string &Address, const BodyParser &Parser) {
  auto Status = Parser.get().result_int();
  telemetry::log(telemetry::Level::Warning, "no answer: its status is none",
                 {{"server", Address}, {"status", std::int64_t(Status)}});
  return {http::Error::Kind::Malformed,
          "no answer: status " + std::to_string(Status)};
}

bool isInterim(const BodyParser &Parser) {
  return Parser.get().result_int() < 200;
}

/// Reads the head of the final response to a request.
/// @param Bytes set to the bytes of all heads.
asio::awaitable<boost::system::error_code>
readHead(beast::tcp_stream &Stream, beast::flat_buffer &Buffer,
         std::optional<BodyParser> &Parser, std::size_t MaxBodyBytes,
         std::size_t &Bytes) {
  do {
    Parser.emplace(MaxHeadBytes);
    Parser->body_limit(MaxBodyBytes);
    auto [Failed, HeadBytes] =
        co_await beast::http::async_read_header(Stream, Buffer, *Parser, Await);
    Bytes += HeadBytes;
    if (Failed)
      co_return Failed;
    if (Bytes > MaxInterimBytes)
      co_return beast::http::error::header_limit;
  } while (isInterim(*Parser));
  co_return boost::system::error_code();
}

/// Reads the rest of a response.
/// @param Timeout `HttpClient::Call::BodyTimeout`; 0 leaves the deadline of
/// \p Stream as it is.
asio::awaitable<boost::system::error_code>
readBody(beast::tcp_stream &Stream, beast::flat_buffer &Buffer,
         BodyParser &Parser, std::chrono::milliseconds Timeout) {
  using Clock = std::chrono::steady_clock;
  auto Deadline = Clock::now() + Timeout;
  while (!Parser.is_done()) {
    if (Timeout.count() > 0)
      Stream.expires_at(
          std::min(Deadline, Clock::now() + HttpClient::BodyStallTimeout));
    auto [Failed, Bytes] =
        co_await beast::http::async_read_some(Stream, Buffer, Parser, Await);
    if (Failed)
      co_return Failed;
  }
  co_return boost::system::error_code();
}

} // namespace

struct HttpClient::State {
  asio::io_context &Loop;
  std::map<std::string, std::vector<IdleConnection>> Idle;
  core::BootTime LastEviction{};
  TransferCounts Counts{"calls"};

  std::unique_ptr<beast::tcp_stream> takeIdle(const std::string &Address) {
    auto Found = Idle.find(Address);
    if (Found == Idle.end())
      return nullptr;
    while (!Found->second.empty()) {
      IdleConnection Last = std::move(Found->second.back());
      Found->second.pop_back();
      if (core::BootClock::now() - Last.IdleSince < IdleTimeout &&
          isIdle(Last.Stream->socket()))
        return std::move(Last.Stream);
    }
    return nullptr;
  }

  /// Closes connections that have been idle for too long, at all addresses, as
  /// servers may limit the number of connections.
  void evictExpired() {
    core::BootTime Now = core::BootClock::now();
    if (Now - LastEviction < EvictionPeriod)
      return;
    LastEviction = Now;
    for (auto &[Address, List] : Idle)
      std::erase_if(List, [&](const IdleConnection &C) {
        return Now - C.IdleSince >= IdleTimeout;
      });
    std::erase_if(Idle, [](const auto &Item) { return Item.second.empty(); });
  }

  void release(const std::string &Address,
               std::unique_ptr<beast::tcp_stream> Stream) {
    resetOnClose(Stream->socket(), false);
    std::vector<IdleConnection> &List = Idle[Address];
    if (List.size() < MaxIdlePerAddress)
      List.push_back({std::move(Stream), core::BootClock::now()});
  }
};

HttpClient::HttpClient(asio::io_context &Loop)
    : S(std::make_unique<State>(State{.Loop = Loop})) {}

HttpClient::~HttpClient() = default;

asio::awaitable<core::Result<http::Response, http::Error>>
HttpClient::exchange(std::string Address, Call Spec) {
  std::string_view Kind = Spec.Kind;
  std::size_t BodyBytes = 0;
  Spec.OnBodyEnd =
      [&BodyBytes, Next = std::move(Spec.OnBodyEnd)](const BodyTransfer &Body) {
        BodyBytes = Body.Bytes;
        if (Next)
          Next(Body);
      };
  S->Counts.sent(Kind, Spec.Request.Body.size(), core::BootClock::now());
  auto Answer = co_await exchangeUncounted(std::move(Address), std::move(Spec));
  core::BootTime Now = core::BootClock::now();
  if (Answer)
    S->Counts.received(Kind, BodyBytes, TransferCounts::Place::Unknown, Now);
  else
    S->Counts.failed(Kind, BodyBytes, Now);
  co_return Answer;
}

asio::awaitable<core::Result<http::Response, http::Error>>
HttpClient::exchangeUncounted(std::string Address, Call Spec) {
  using http::Error;
  auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    co_return core::failure(Error{Error::Kind::Address, Address});
  S->evictExpired();
  auto Deadline = std::chrono::steady_clock::now() + Spec.Timeout;
  auto Message = toBeast(Address, std::move(Spec.Request));
  std::unique_ptr<beast::tcp_stream> Stream =
      Spec.NewConnection ? nullptr : S->takeIdle(Address);
  for (;;) {
    bool Reused = Stream != nullptr;
    if (!Reused) {
      Stream = std::make_unique<beast::tcp_stream>(S->Loop);
      Stream->expires_at(std::min(Deadline, std::chrono::steady_clock::now() +
                                                ConnectTimeout));
      auto [Failed] = co_await Stream->async_connect(*Endpoint, Await);
      if (Failed) {
        S->Idle.erase(Address);
        co_return core::failure(Error{Error::Kind::NotSent, Failed.message()});
      }
      enableDeadPeerDetection(Stream->socket(), DeadPeerTimeout);
    }
    if (Spec.BeforeSend && !Spec.BeforeSend())
      co_return core::failure(Error{Error::Kind::NotSent, "withdrawn"});
    Stream->expires_at(Deadline);
    resetOnClose(Stream->socket(), true);
    auto [WriteFailed, Written] =
        co_await beast::http::async_write(*Stream, Message, Await);
    boost::system::error_code Failed = WriteFailed;
    beast::flat_buffer Buffer(MaxUnparsedBytes);
    std::optional<BodyParser> Parser;
    std::size_t ResponseBytes = 0;
    // Read only once the request is written, as `http::isWholeAtConnectionEnd`
    // asks of whoever takes an answer without a length.
    if (!Failed)
      Failed = co_await readHead(*Stream, Buffer, Parser, Spec.MaxBodyBytes,
                                 ResponseBytes);
    if (Failed == beast::http::error::bad_status) {
      S->Idle.erase(Address);
      co_return core::failure(noAnswer(Address, *Parser));
    }
    if (!Failed) {
      auto HeaderReceivedAt = std::chrono::steady_clock::now();
      Failed = co_await readBody(*Stream, Buffer, *Parser, Spec.BodyTimeout);
      if (Spec.OnBodyEnd)
        Spec.OnBodyEnd({std::chrono::steady_clock::now() - HeaderReceivedAt,
                        Parser->get().body().size(), !Failed});
    }
    bool BytesFollow = Buffer.size() > 0;
    if (!Failed && Reused && BytesFollow) {
      S->Idle.erase(Address);
      co_return core::failure(
          Error{Error::Kind::Malformed,
                "bytes follow the response on a reused connection"});
    }
    if (!Failed) {
      bool KeepOpen =
          !Spec.NewConnection && Parser->keep_alive() && !BytesFollow;
      http::Response Answer = fromBeast(Parser->release());
      if (KeepOpen)
        S->release(Address, std::move(Stream));
      co_return Answer;
    }
    S->Idle.erase(Address);
    bool TimedOut = Failed == beast::error::timeout;
    if (!Reused || ResponseBytes > 0 || TimedOut)
      co_return core::failure(Error{Failed == beast::http::error::body_limit
                                        ? Error::Kind::Malformed
                                        : Error::Kind::Interrupted,
                                    Failed.message()});
    Stream = nullptr;
  }
}

} // namespace rosemarylane
