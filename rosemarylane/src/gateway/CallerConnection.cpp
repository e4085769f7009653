#include "gateway/CallerConnection.h"

#include "gateway/RequestRun.h"
#include "http/Exchange.h"
#include "node/Sockets.h"
#include "platform/RequestHeaders.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <sstream>

namespace rosemarylane {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http_ = boost::beast::http;
using std::chrono::milliseconds;

namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);
/// Time limit for the body of a request after its head.
constexpr std::chrono::seconds BodyTimeout{10};
/// How often reads are cancelled once their time limit has passed.
constexpr milliseconds ReadEndPeriod{20};
/// Time limit for one write. A caller that does not read its response is
/// disconnected.
constexpr std::chrono::seconds WriteTimeout{20};
/// How long, and up to how many bytes, a caller may go on sending a request
/// that was refused before it was read whole.
constexpr std::chrono::seconds LingerTime{3};
constexpr std::size_t MaxLingerBytes = 16 << 20;
constexpr std::size_t LingerReadBytes = 16 << 10;
/// Least size of a read of the head and of the body, and the most that is read
/// at once; between them, a read takes as much as the buffer has room for.
constexpr std::size_t MinHeadReadBytes = 512;
constexpr std::size_t MinBodyReadBytes = 4 << 10;
constexpr std::size_t MaxReadBytes = 64 << 10;
/// A connection is closed if the caller's host leaves sent bytes or TCP
/// keep-alive probes unacknowledged for this long.
constexpr milliseconds CallerSilenceTimeout{8000};

/// When a caller may come back whose request found no room, in seconds.
constexpr std::string_view EvictedRetryAfter = "1";
/// Longest identification of an unreadable request in the log.
constexpr std::size_t MaxLoggedIdBytes = 64;

/// @return the status with which a request is refused whose reading has failed;
/// 0 if the caller closed the connection.
unsigned refusalFor(boost::system::error_code ReadError) {
  // `buffer_overflow`: the extension of a chunk or the trailer is too long.
  if (ReadError == http_::error::header_limit ||
      ReadError == http_::error::buffer_overflow)
    return 431;
  if (ReadError == http_::error::body_limit)
    return 413;
  // `CallerConnection::limitReading` ended the read.
  if (ReadError == asio::error::operation_aborted)
    return 408;
  if (ReadError == asio::error::no_memory ||
      ReadError == asio::error::shut_down)
    return 503;
  bool IsMalformed =
      ReadError.category() ==
      http_::make_error_code(http_::error::bad_method).category();
  bool HasLeft = ReadError == http_::error::end_of_stream ||
                 ReadError == http_::error::partial_message;
  return IsMalformed && !HasLeft ? 400 : 0;
}

/// @return why a request is refused before it was read, for operators.
const char *reasonOf(boost::system::error_code ReadError) {
  if (ReadError == asio::error::shut_down)
    return "gateway stops";
  switch (refusalFor(ReadError)) {
  case 408:
    return "too slow";
  case 413:
    return "body too large";
  case 431:
    return "head too large";
  case 503:
    return "no memory";
  default:
    return "malformed";
  }
}

/// @return whether \p Incoming has a body that no request with its method may
/// have, and that can't be passed on (RFC 9110, section 9.3.8).
template <typename Parser> bool hasUnsendableBody(const Parser &Incoming) {
  return Incoming.get().method() == http_::verb::trace &&
         !Incoming.get().body().empty();
}

} // namespace

CallerConnection::CallerConnection(GatewayContext &Context,
                                   asio::ip::tcp::socket Socket)
    : Context(Context), TcpStream(std::move(Socket)),
      Place(Context.Callers, [this] { yieldPlace(); }), ReadTimer(Context.Loop),
      Held(Context.Memory, [this] { refuseReading(asio::error::no_memory); }),
      Unread(Context.Memory, [this] { abort(); }),
      IdleSince(core::BootClock::now()) {
  enableDeadPeerDetection(TcpStream.socket(), CallerSilenceTimeout);
}

void CallerConnection::start() {
  asio::co_spawn(
      Context.Loop,
      [Self = shared_from_this()]() -> asio::awaitable<void> {
        co_await Self->run();
        Self->abort();
      },
      [](std::exception_ptr Thrown) {
        if (!Thrown)
          return;
        try {
          std::rethrow_exception(Thrown);
        } catch (const std::exception &E) {
          telemetry::log(telemetry::Level::Error,
                         "exception while handling a request",
                         {{"error", std::string(E.what())}});
        }
      });
}

asio::awaitable<void> CallerConnection::run() {
  // A connection may be drained before its first request has been read.
  do {
    // Each co_await is a statement of its own. If it were the right operand of
    // && or || and not evaluated, the compiler would still destroy its
    // awaitable, although that was never created.
    bool HasRequest = co_await awaitRequest();
    if (!HasRequest)
      co_return;
    bool WasRead = co_await readRequest();
    if (!WasRead)
      co_return;
    KeepAlive = CurrentRequest.keep_alive();
    Place.beginRequest();
    watchForDisconnect();
    IsHandling = true;
    co_await runRequest(Context, shared_from_this(), CurrentRequest);
    IsHandling = false;
    // Frees the body now: the connection may stay idle for long.
    CurrentRequest = Request();
    Held.release();
    stopWatching();
    Place.endRequest();
  } while (KeepAlive && !Disconnected && !endsDrained());
  // Closing the socket with bytes unread would reset the connection under the
  // answer.
  if (!Disconnected && isOpen())
    co_await discardInput();
}

asio::awaitable<bool> CallerConnection::awaitRequest() {
  IsIdle = true;
  IdleSince = core::BootClock::now();
  if (Buffer.size() == 0) {
    auto [ErrorCode] = co_await TcpStream.socket().async_wait(
        asio::ip::tcp::socket::wait_read, Await);
    if (ErrorCode)
      co_return false;
  }
  IsIdle = false;
  co_return true;
}

asio::awaitable<bool> CallerConnection::readRequest() {
  serving::CallerLimits Limits;
  if (Context.Config)
    Limits = Context.Config->Limits;
  std::optional<Parser> Incoming(std::in_place, Limits.HeaderBytes);
  Incoming->body_limit(Limits.BodyBytes);
  ReadRefusal.clear();
  IsReading = true;
  boost::system::error_code ErrorCode = co_await readWhole(*Incoming, Limits);
  IsReading = false;
  ReadTimer.expires_at(asio::steady_timer::time_point::max());
  std::string Id = platform::readRequest(Incoming->get()).Id;
  if (!ErrorCode && hasUnsendableBody(*Incoming))
    ErrorCode = http_::error::bad_method;
  if (!ErrorCode && !takeRequest(*Incoming))
    ErrorCode = asio::error::no_memory;
  if (!ErrorCode) {
    if (Buffer.size() == 0)
      http::freeBuffer(Buffer);
    co_return true;
  }
  Held.release();
  Incoming.reset();
  http::freeBuffer(Buffer);
  if (refusalFor(ErrorCode) != 0 && isOpen())
    co_await rejectUnreadable(ErrorCode, std::move(Id));
  co_return false;
}

asio::awaitable<boost::system::error_code>
CallerConnection::readWhole(Parser &Incoming,
                            const serving::CallerLimits &Limits) {
  // The parser limits head and body. Between them, it asks for bytes until the
  // extension of a chunk, or the trailer, is whole.
  Buffer.max_size(
      std::max(Buffer.size(), Limits.HeaderBytes + http::MaxChunkFramingBytes));
  limitReading(Limits.HeaderTimeout);
  boost::system::error_code ErrorCode = co_await readInto(Incoming, true);
  if (ErrorCode || Incoming.is_done())
    co_return ErrorCode;
  // A body that would be refused need not be sent.
  auto Length = Incoming.content_length();
  if (Length && !Context.Memory.hasRoom(*Length))
    co_return asio::error::no_memory;
  limitReading(BodyTimeout);
  if (beast::iequals(Incoming.get()[http_::field::expect], "100-continue")) {
    static constexpr std::string_view Continue =
        "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(TcpStream, asio::buffer(Continue), Await);
  }
  ErrorCode = co_await readInto(Incoming, false);
  co_return ErrorCode;
}

asio::awaitable<boost::system::error_code>
CallerConnection::readInto(Parser &Incoming, bool HeadOnly) {
  auto IsDone = [&] {
    return HeadOnly ? Incoming.is_header_done() : Incoming.is_done();
  };
  while (!IsDone()) {
    if (ReadRefusal)
      co_return ReadRefusal;
    boost::system::error_code ErrorCode = http_::error::need_more;
    if (Buffer.size() > 0)
      Buffer.consume(Incoming.put(Buffer.data(), ErrorCode));
    accountInput(Incoming);
    if (ReadRefusal)
      co_return ReadRefusal;
    if (ErrorCode && ErrorCode != http_::error::need_more)
      co_return ErrorCode;
    if (!ErrorCode)
      continue;
    std::size_t Size =
        std::min(std::clamp(Buffer.capacity() - Buffer.size(),
                            HeadOnly ? MinHeadReadBytes : MinBodyReadBytes,
                            MaxReadBytes),
                 Buffer.max_size() - Buffer.size());
    if (Size == 0)
      co_return http_::error::buffer_overflow;
    auto [ReadError, Bytes] =
        co_await TcpStream.async_read_some(Buffer.prepare(Size), Await);
    if (ReadRefusal)
      co_return ReadRefusal;
    if (ReadError == asio::error::eof)
      co_return Incoming.got_some() ? http_::error::partial_message
                                    : http_::error::end_of_stream;
    if (ReadError)
      co_return ReadError;
    Buffer.commit(Bytes);
  }
  co_return boost::system::error_code();
}

void CallerConnection::accountInput(const Parser &Incoming) {
  const std::string &Body = Incoming.get().body();
  // A body whose length is stated has all its memory reserved, but not used.
  std::size_t BodyMemory = std::min(Body.capacity(), 2 * Body.size());
  Held.setUnfinished(Buffer.capacity() + Incoming.fieldMemory() + BodyMemory);
}

bool CallerConnection::takeRequest(Parser &Incoming) {
  std::size_t Fields = Incoming.fieldMemory();
  if (!Held.tryBegin(Fields + Incoming.get().body().capacity()))
    return false;
  auto Message = Incoming.release();
  CurrentRequest =
      Request(std::move(Message.base()),
              std::make_shared<const std::string>(std::move(Message.body())));
  return true;
}

void CallerConnection::limitReading(milliseconds Limit) {
  ReadTimer.expires_after(Limit);
  ReadTimer.async_wait([Weak = weak_from_this()](
                           boost::system::error_code ErrorCode) {
    auto Self = Weak.lock();
    // Another limit may have been set when this one was already over.
    if (ErrorCode || !Self ||
        Self->ReadTimer.expiry() > asio::steady_timer::clock_type::now())
      return;
    boost::system::error_code Ignored; // A closed socket has nothing to cancel.
    if (Self->isOpen())
      Self->TcpStream.socket().cancel(Ignored);
    // Between two reads there was nothing to end.
    Self->limitReading(ReadEndPeriod);
  });
}

void CallerConnection::refuseReading(boost::system::error_code Why) {
  ReadRefusal = Why;
  boost::system::error_code Ignored; // A closed socket ends its reads anyway.
  if (isOpen())
    TcpStream.socket().cancel(Ignored);
}

void CallerConnection::refuseUnread() {
  if (IsReading)
    refuseReading(asio::error::shut_down);
}

asio::awaitable<void>
CallerConnection::rejectUnreadable(boost::system::error_code Why,
                                   std::string Id) {
  KeepAlive = false;
  unsigned Status = refusalFor(Why);
  bool Stops = Why == asio::error::shut_down;
  telemetry::log(telemetry::Level::Warning,
                 Stops ? "request refused: the gateway stops"
                 : Status == 503
                     ? "request refused: no memory for it"
                     : "request rejected: malformed, too large or too slow",
                 {{"status", std::int64_t(Status)},
                  {"reason", std::string(reasonOf(Why))},
                  {"id", Id.substr(0, MaxLoggedIdBytes)},
                  {"caller", callerAddress()}});
  // `respond` takes the method from `CurrentRequest`, which is the previous
  // one.
  CurrentRequest = Request();
  Fields Head;
  std::string Body;
  if (Status == 503) {
    Head.set(http_::field::retry_after, EvictedRetryAfter);
    Head.set(http_::field::content_type, "application/problem+json");
    Body = http::problemResponse(Status, "Unavailable",
                                 Stops ? "gateway stops"
                                       : "too much is held of other requests",
                                 "no")
               .Body;
  }
  bool Written = co_await respond(Status, Head, std::move(Body));
  if (Written)
    co_await discardInput();
}

asio::awaitable<void> CallerConnection::discardInput() {
  Place.endLast();
  boost::system::error_code Ignored; // The reads below fail then.
  TcpStream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  http::freeBuffer(Buffer);
  TcpStream.expires_after(LingerTime);
  // Shared by all connections: nobody reads what is discarded.
  static std::array<char, LingerReadBytes> Unread;
  std::size_t Discarded = 0;
  while (Discarded < MaxLingerBytes) {
    auto [ErrorCode, Bytes] =
        co_await TcpStream.async_read_some(asio::buffer(Unread), Await);
    if (ErrorCode)
      co_return;
    Discarded += Bytes;
  }
}

void CallerConnection::watchForDisconnect() {
  std::uint64_t Id = ++WatchId;
  TcpStream.socket().async_wait(
      asio::ip::tcp::socket::wait_read,
      [Weak = weak_from_this(), Id](boost::system::error_code ErrorCode) {
        auto Self = Weak.lock();
        if (!Self || ErrorCode || Self->WatchId != Id)
          return;
        if (!closedByPeer(Self->TcpStream.socket()))
          return;
        Self->Disconnected = true;
        Self->Context.Metrics.callerDisconnected();
        if (auto Hook = std::exchange(Self->DisconnectHook, nullptr))
          Hook();
      });
}

void CallerConnection::stopWatching() {
  ++WatchId;
  DisconnectHook = nullptr;
  boost::system::error_code Ignored; // A closed socket has nothing to cancel.
  if (isOpen())
    TcpStream.socket().cancel(Ignored);
}

asio::awaitable<bool> CallerConnection::respond(unsigned Status,
                                                const Fields &Head,
                                                std::string Body) {
  http_::response<http_::string_body> Response{
      std::piecewise_construct, std::make_tuple(std::move(Body)),
      std::make_tuple(http_::fields(Head))};
  Response.version(11);
  Response.result(Status);
  KeepAlive = KeepAlive && !Context.Draining;
  Response.keep_alive(KeepAlive);
  // The head of a target's own answer states the length of the body that is
  // left out.
  if (CurrentRequest.method() == http_::verb::head)
    Response.body().clear();
  else
    Response.prepare_payload();
  TcpStream.expires_after(WriteTimeout);
  http_::response_serializer<http_::string_body> Serializer(Response);
  // All of it is held until the caller has taken the last byte.
  std::size_t BodyMemory = Response.body().capacity();
  Unread.setUnread(BodyMemory);
  boost::system::error_code ErrorCode;
  while (!Serializer.is_done() && !ErrorCode) {
    auto [WriteError, Bytes] =
        co_await http_::async_write_some(TcpStream, Serializer, Await);
    ErrorCode = WriteError;
    if (Bytes > 0)
      Unread.setTaken(BodyMemory);
  }
  Unread.release();
  TcpStream.expires_never();
  if (ErrorCode)
    KeepAlive = false;
  co_return !ErrorCode;
}

asio::awaitable<bool> CallerConnection::startStream(unsigned Status,
                                                    const Fields &Head) {
  http_::response<http_::empty_body> Response{
      std::piecewise_construct, std::make_tuple(),
      std::make_tuple(http_::fields(Head))};
  Response.version(11);
  Response.result(Status);
  KeepAlive = KeepAlive && !Context.Draining;
  Response.keep_alive(KeepAlive);
  Response.chunked(true);
  http_::response_serializer<http_::empty_body> Serializer(Response);
  TcpStream.expires_after(WriteTimeout);
  auto [ErrorCode, BytesWritten] =
      co_await http_::async_write_header(TcpStream, Serializer, Await);
  TcpStream.expires_never();
  co_return !ErrorCode;
}

asio::awaitable<bool> CallerConnection::writeChunk(std::string Data) {
  TcpStream.expires_after(WriteTimeout);
  auto [ErrorCode, BytesWritten] = co_await asio::async_write(
      TcpStream, http_::make_chunk(asio::buffer(Data)), Await);
  TcpStream.expires_never();
  co_return !ErrorCode;
}

asio::awaitable<bool> CallerConnection::finishStream() {
  TcpStream.expires_after(WriteTimeout);
  auto [ErrorCode, BytesWritten] =
      co_await asio::async_write(TcpStream, http_::make_chunk_last(), Await);
  TcpStream.expires_never();
  if (ErrorCode)
    KeepAlive = false;
  co_return !ErrorCode;
}

void CallerConnection::yieldPlace() {
  static const std::string Refusal = [] {
    http_::response<http_::string_body> Response{
        http_::status::service_unavailable, 11};
    Response.set(http_::field::retry_after, EvictedRetryAfter);
    Response.set(http_::field::content_type, "application/problem+json");
    Response.body() =
        http::problemResponse(503, "Unavailable", "too many connections", "no")
            .Body;
    Response.keep_alive(false);
    Response.prepare_payload();
    std::ostringstream Text;
    Text << Response;
    return Text.str();
  }();
  if (IsReading && isOpen())
    sendNow(TcpStream.socket(), Refusal);
  ++Context.YieldedPlaces;
  abort();
}

void CallerConnection::abort() {
  KeepAlive = false;
  Place.leave();
  boost::system::error_code Ignored; // The connection is unusable either way.
  if (isOpen())
    TcpStream.socket().close(Ignored);
}

bool CallerConnection::closeIfIdle(core::BootTime Now, milliseconds Limit) {
  // `isIdle`: no byte of a next request has arrived, and the socket is open.
  bool Closes =
      IsIdle && Now - IdleSince >= Limit && isIdle(TcpStream.socket());
  if (Closes)
    abort();
  return Closes;
}

void CallerConnection::logCutOff() const {
  if (IsHandling)
    telemetry::log(telemetry::Level::Warning, "request cut off",
                   {{"id", platform::readRequest(CurrentRequest).Id}});
}

std::string CallerConnection::callerAddress() const {
  boost::system::error_code ErrorCode;
  auto Caller = TcpStream.socket().remote_endpoint(ErrorCode);
  if (ErrorCode)
    return {};
  return Caller.address().to_string() + ":" + std::to_string(Caller.port());
}

bool CallerConnection::endsDrained() {
  // The head of an answer that began before the process was told to stop has
  // kept the connection open, so the next request may be here already.
  return Drained && Buffer.size() == 0 && isIdle(TcpStream.socket());
}

void CallerConnection::drain() {
  Drained = true;
  if (IsIdle && isOpen() && isIdle(TcpStream.socket()))
    abort();
}

} // namespace rosemarylane
