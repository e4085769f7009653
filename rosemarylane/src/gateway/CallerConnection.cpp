#include "gateway/CallerConnection.h"

#include "gateway/RequestRun.h"
#include "node/Sockets.h"
#include "telemetry/Log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace rosemarylane {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http_ = boost::beast::http;
using std::chrono::milliseconds;

namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);
/// Time for the body of a request after its head.
constexpr std::chrono::seconds BodyTimeout{10};
/// A caller that takes no byte of its answer for this long is cut off.
constexpr std::chrono::seconds WriteTimeout{20};
/// A caller whose connection is silent for this long is gone.
constexpr milliseconds Silence{8000};

} // namespace

CallerConnection::CallerConnection(GatewayContext &Context,
                                   asio::ip::tcp::socket Socket)
    : Context(Context), Stream(std::move(Socket)),
      IdleSince(core::BootClock::now()) {
  enableDeadPeerDetection(Stream.socket(), Silence);
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
          telemetry::log(telemetry::Level::Error, "request handling threw",
                         {{"error", std::string(E.what())}});
        }
      });
}

asio::awaitable<void> CallerConnection::run() {
  while (KeepOpen && !Gone) {
    // Each await stands alone: the compiler destroys an unstarted one wrongly
    // where it is the right side of a short-circuit operator.
    bool Came = co_await awaitRequest();
    if (!Came)
      co_return;
    bool Read = co_await readRequest();
    if (!Read)
      co_return;
    KeepOpen = Current.keep_alive();
    watchCaller();
    ++Context.InProgress;
    co_await runRequest(Context, shared_from_this(), Current);
    --Context.InProgress;
    stopWatching();
  }
}

asio::awaitable<bool> CallerConnection::awaitRequest() {
  Idle = true;
  IdleSince = core::BootClock::now();
  if (Buffer.size() == 0) {
    auto [Failed] = co_await Stream.socket().async_wait(
        asio::ip::tcp::socket::wait_read, Await);
    if (Failed)
      co_return false;
  }
  Idle = false;
  co_return true;
}

asio::awaitable<bool> CallerConnection::readRequest() {
  serving::CallerLimits Limits;
  if (Context.Config)
    Limits = Context.Config->Limits;
  http_::request_parser<http_::string_body> Parser;
  Parser.header_limit(static_cast<std::uint32_t>(Limits.HeaderBytes));
  Parser.body_limit(Limits.BodyBytes);
  Stream.expires_after(Limits.HeaderTimeout);
  auto [HeadFailed, HeadBytes] =
      co_await http_::async_read_header(Stream, Buffer, Parser, Await);
  boost::system::error_code Failed = HeadFailed;
  if (!Failed && !Parser.is_done()) {
    if (beast::iequals(Parser.get()[http_::field::expect], "100-continue")) {
      static constexpr std::string_view Continue =
          "HTTP/1.1 100 Continue\r\n\r\n";
      co_await asio::async_write(Stream, asio::buffer(Continue), Await);
    }
    Stream.expires_after(BodyTimeout);
    auto [BodyFailed, BodyBytes] =
        co_await http_::async_read(Stream, Buffer, Parser, Await);
    Failed = BodyFailed;
  }
  Stream.expires_never();
  if (!Failed) {
    Current = Parser.release();
    co_return true;
  }
  if (Failed == http_::error::header_limit)
    co_await refuseUnreadable(431);
  else if (Failed == http_::error::body_limit)
    co_await refuseUnreadable(413);
  else if (Failed.category() ==
               http_::make_error_code(http_::error::bad_method).category() &&
           Failed != http_::error::end_of_stream &&
           Failed != http_::error::partial_message)
    co_await refuseUnreadable(400);
  else if (Failed == beast::error::timeout && HeadBytes > 0)
    co_await refuseUnreadable(408);
  co_return false;
}

asio::awaitable<void> CallerConnection::refuseUnreadable(unsigned Status) {
  KeepOpen = false;
  telemetry::log(telemetry::Level::Warning, "request unreadable",
                 {{"status", std::int64_t(Status)}});
  co_await respond(Status, Fields(), "");
}

void CallerConnection::watchCaller() {
  std::uint64_t Number = ++Watched;
  Stream.socket().async_wait(
      asio::ip::tcp::socket::wait_read,
      [Weak = weak_from_this(), Number](boost::system::error_code Failed) {
        auto Self = Weak.lock();
        if (!Self || Failed || Self->Watched != Number)
          return;
        if (!closedByPeer(Self->Stream.socket()))
          return;
        Self->Gone = true;
        Self->Context.Metrics.callerLeft();
        if (auto Hook = std::exchange(Self->GoneHook, nullptr))
          Hook();
      });
}

void CallerConnection::stopWatching() {
  ++Watched;
  GoneHook = nullptr;
  boost::system::error_code Ignored; // Nothing to cancel on a closed socket.
  if (open())
    Stream.socket().cancel(Ignored);
}

asio::awaitable<bool> CallerConnection::respond(unsigned Status,
                                                const Fields &Head,
                                                std::string Body) {
  http_::response<http_::string_body> Answer{
      std::piecewise_construct, std::make_tuple(std::move(Body)),
      std::make_tuple(http_::fields(Head))};
  Answer.version(11);
  Answer.result(Status);
  KeepOpen = KeepOpen && !Context.Draining;
  Answer.keep_alive(KeepOpen);
  bool IsHead = Current.method() == http_::verb::head;
  if (!IsHead)
    Answer.prepare_payload();
  Stream.expires_after(WriteTimeout);
  auto [Failed, Written] = co_await http_::async_write(Stream, Answer, Await);
  Stream.expires_never();
  if (Failed)
    KeepOpen = false;
  co_return !Failed;
}

asio::awaitable<bool> CallerConnection::startStream(unsigned Status,
                                                    const Fields &Head) {
  http_::response<http_::empty_body> Answer{
      std::piecewise_construct, std::make_tuple(),
      std::make_tuple(http_::fields(Head))};
  Answer.version(11);
  Answer.result(Status);
  KeepOpen = KeepOpen && !Context.Draining;
  Answer.keep_alive(KeepOpen);
  Answer.chunked(true);
  http_::response_serializer<http_::empty_body> Serializer(Answer);
  Stream.expires_after(WriteTimeout);
  auto [Failed, Written] =
      co_await http_::async_write_header(Stream, Serializer, Await);
  Stream.expires_never();
  co_return !Failed;
}

asio::awaitable<bool> CallerConnection::writePart(std::string Part) {
  Stream.expires_after(WriteTimeout);
  auto [Failed, Written] = co_await asio::async_write(
      Stream, http_::make_chunk(asio::buffer(Part)), Await);
  Stream.expires_never();
  co_return !Failed;
}

asio::awaitable<bool> CallerConnection::finishStream() {
  Stream.expires_after(WriteTimeout);
  auto [Failed, Written] =
      co_await asio::async_write(Stream, http_::make_chunk_last(), Await);
  Stream.expires_never();
  if (Failed)
    KeepOpen = false;
  co_return !Failed;
}

void CallerConnection::abort() {
  KeepOpen = false;
  boost::system::error_code Ignored; // The connection ends either way.
  if (open())
    Stream.socket().close(Ignored);
}

void CallerConnection::closeIfIdle(core::BootTime Now, milliseconds Limit) {
  if (Idle && Now - IdleSince >= Limit && isIdle(Stream.socket()))
    abort();
}

void CallerConnection::drain() {
  KeepOpen = false;
  if (Idle && open() && isIdle(Stream.socket()))
    abort();
}

} // namespace rosemarylane
