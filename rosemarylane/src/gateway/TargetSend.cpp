#include "gateway/TargetSend.h"

#include "http/ConnectionEnd.h"
#include "node/Sockets.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace rosemarylane {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http_ = boost::beast::http;
using std::chrono::milliseconds;

namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds ConnectTimeout{400};
/// Longest idle time of a pooled connection that is reused for a request that
/// must not run twice (`serving::Route::repeatable`). The target may close an
/// idle connection just as the request is sent, so that it is unknown whether
/// the request ran. With 0, a connection is reused only if it was released at
/// the same reading of the clock.
constexpr milliseconds MaxIdleTimeNonRepeatable{0};
/// The same for a request that may run twice.
constexpr milliseconds MaxIdleTimeRepeatable{4000};
constexpr std::size_t BodyBufferBytes = 8 << 10;
/// The write of a body up to this size is awaited: such a body fits the send
/// buffer of the socket. A larger body is written in the background, because
/// the target may respond before it has read all of it.
constexpr std::size_t MaxAwaitedBodyBytes = 8 << 10;
/// What a target's host takes of a request while the target reads nothing.
constexpr std::size_t MaxUnreadBodyBytes = 32 << 10;
/// Limit of the bytes that are skipped before the response: interim responses
/// and late ones to earlier requests. The timeout alone is no limit, as it does
/// not fire while bytes can be read without a wait.
constexpr std::size_t MaxSkippedBytes = 1 << 20;
/// Limit of the head of a response.
constexpr std::size_t MaxHeadBytes = 8 << 10;
/// Limit of the bytes that are kept until they can be parsed. The parser itself
/// limits only the head, not the extension of a chunk or the trailer.
constexpr std::size_t MaxUnparsedBytes = 64 << 10;

} // namespace

namespace {

bool isClosedByPeer(boost::system::error_code ErrorCode) {
  return ErrorCode == asio::error::eof ||
         ErrorCode == asio::error::connection_reset ||
         ErrorCode == asio::error::broken_pipe ||
         ErrorCode == http_::error::end_of_stream ||
         ErrorCode == http_::error::partial_message;
}

/// @return whether a response of this status is followed by the final one.
bool isInterim(unsigned Status) { return Status >= 100 && Status < 200; }

} // namespace

/// A request that is being written. The completion handler of the write keeps
/// it alive.
struct TargetSend::PendingWrite {
  CallerConnection::Request Message;
  bool IsWritten = false;
};

struct TargetSend::Channel {
  explicit Channel(asio::io_context &Loop) : Changed(Loop) {}

  /// Records the end of the read in progress.
  void endRead(boost::system::error_code Failed, std::size_t Bytes) {
    ErrorCode = Failed;
    BytesRead = Bytes;
    IsReading = false;
    Changed.cancel();
  }

  TargetPool::ConnectionPtr TcpStream;
  /// Bytes received on the connection that are not parsed yet.
  boost::beast::flat_buffer Buffer{MaxUnparsedBytes};
  std::optional<Parser> Response;
  std::string BodyBuffer;
  /// Cancelled when the read has ended, or is not waited for any more.
  asio::steady_timer Changed;
  bool IsReading = false;
  /// A read was begun whose result was not taken yet.
  bool HasRead = false;
  boost::system::error_code ErrorCode;
  std::size_t BytesRead = 0;
};

TargetSend::TargetSend(GatewayContext &Context, serving::SelectedTarget Target)
    : Context(Context), Target(std::move(Target)),
      Wire(std::make_shared<Channel>(Context.Loop)) {}

TargetSend::~TargetSend() {
  // Otherwise the read would keep the connection open.
  if (Wire->IsReading)
    cancel();
}

asio::awaitable<TargetSend::Result>
TargetSend::start(const CallerConnection::Request &Request,
                  const platform::HttpFields &Fields, const std::string &Id,
                  Clock::time_point HeadDeadline) {
  IsHeadRequest = Request.method() == http_::verb::head;
  if (Cancelled || Clock::now() >= HeadDeadline)
    co_return Result::NotSent;
  Wire->TcpStream->expires_at(HeadDeadline);
  resetOnClose(Wire->TcpStream->socket(), true);
  // Read the response even if the write failed: the target may have refused the
  // request before it had read all of it.
  co_await write(Request, Fields);
  if (Cancelled)
    co_return Result::Broken;
  Result HeadResult = co_await readHead(Id);
  co_return HeadResult;
}

asio::awaitable<bool> TargetSend::connect(bool NewConnectionOnly,
                                          Clock::time_point Deadline) {
  if (Cancelled)
    co_return false;
  Wire->TcpStream = Context.TargetConnections.acquireIdle(
      Target.Id, core::BootClock::now(),
      NewConnectionOnly ? MaxIdleTimeNonRepeatable : MaxIdleTimeRepeatable);
  ReusedConnection = Wire->TcpStream != nullptr;
  if (ReusedConnection)
    co_return true;
  auto Remaining =
      std::chrono::duration_cast<milliseconds>(Deadline - Clock::now());
  if (Remaining <= milliseconds(0))
    co_return false;
  Wire->TcpStream = Context.TargetConnections.create();
  bool Connected = co_await TargetPool::connect(
      *Wire->TcpStream, Target.Address, std::min(Remaining, ConnectTimeout));
  co_return Connected && !Cancelled;
}

asio::awaitable<void>
TargetSend::write(const CallerConnection::Request &Request,
                  const platform::HttpFields &Fields) {
  Outgoing = std::make_shared<PendingWrite>();
  CallerConnection::Request &Message = Outgoing->Message;
  static_cast<http_::fields &>(Message.base()) = Fields;
  Message.version(11);
  Message.method_string(Request.method_string());
  Message.target(Request.target());
  Message.body() = Request.body();
  Message.prepare_payload();
  std::size_t BodyBytes = http::SharedBody::size(Request.body());
  // Not undone after the response: the target may still leave the rest unread.
  if (BodyBytes > MaxUnreadBodyBytes)
    tolerateUnreadBytes(Wire->TcpStream->socket());
  if (BodyBytes > MaxAwaitedBodyBytes) {
    auto OnWritten = [Pending = Outgoing](boost::system::error_code ErrorCode,
                                          std::size_t) {
      Pending->IsWritten = !ErrorCode;
    };
    http_::async_write(*Wire->TcpStream, Message, std::move(OnWritten));
    co_return;
  }
  auto [ErrorCode, BytesWritten] =
      co_await http_::async_write(*Wire->TcpStream, Message, Await);
  Outgoing->IsWritten = !ErrorCode;
}

TargetSend::Result TargetSend::resultOf(boost::system::error_code ErrorCode) {
  bool IsNoAnswer = ErrorCode == http_::error::bad_status;
  if (IsNoAnswer)
    recordNoAnswer();
  ConnectionLost = IsNoAnswer || isClosedByPeer(ErrorCode);
  return ErrorCode == beast::error::timeout ? Result::TimedOut : Result::Broken;
}

void TargetSend::recordNoAnswer() {
  telemetry::log(telemetry::Level::Warning, "no answer: its status is none",
                 {{"server", Target.Address},
                  {"target", Target.Id.str()},
                  {"status", std::int64_t(status())}});
  Context.Metrics.noAnswer(Target.Address);
}

void TargetSend::resetParser(bool HasNoBody) {
  Wire->Response.emplace(MaxHeadBytes);
  Wire->Response->body_limit(boost::none);
  Wire->Response->skip(HasNoBody);
}

asio::awaitable<TargetSend::Result>
TargetSend::resumeHead(const std::string &Id) {
  Result HeadResult = co_await readHead(Id);
  co_return HeadResult;
}

void TargetSend::beginReadHead() {
  resetParser(IsHeadRequest);
  Wire->HasRead = Wire->IsReading = true;
  http_::async_read_header(*Wire->TcpStream, Wire->Buffer, *Wire->Response,
                           [Own = Wire](auto Failed, std::size_t Bytes) {
                             Own->endRead(Failed, Bytes);
                           });
}

void TargetSend::beginReadPart(Clock::time_point Until) {
  Wire->TcpStream->expires_at(Until);
  Wire->BodyBuffer.resize(BodyBufferBytes);
  auto &Body = Wire->Response->get().body();
  Body.data = Wire->BodyBuffer.data();
  Body.size = Wire->BodyBuffer.size();
  Body.more = true;
  Wire->HasRead = Wire->IsReading = true;
  http_::async_read_some(*Wire->TcpStream, Wire->Buffer, *Wire->Response,
                         [Own = Wire](auto Failed, std::size_t Bytes) {
                           Own->endRead(Failed, Bytes);
                         });
}

asio::awaitable<bool> TargetSend::readEnded() {
  while (Wire->IsReading && !Paused) {
    Wire->Changed.expires_at(asio::steady_timer::time_point::max());
    co_await Wire->Changed.async_wait(Await);
  }
  if (Wire->IsReading)
    co_return false;
  Wire->HasRead = false;
  co_return true;
}

asio::awaitable<TargetSend::Result>
TargetSend::readHead(const std::string &Id) {
  MayPause = true;
  for (;;) {
    if (!Wire->HasRead) {
      if (Paused)
        co_return Result::Paused;
      beginReadHead();
    }
    bool Ended = co_await readEnded();
    if (!Ended)
      co_return Result::Paused;
    if (Wire->ErrorCode)
      co_return resultOf(Wire->ErrorCode);
    SkippedBytes += Wire->BytesRead;
    if (SkippedBytes > MaxSkippedBytes)
      co_return Result::Broken;
    if (isInterim(status()))
      continue;
    HeaderValues = platform::readAnswer(status(), head());
    recordStatements();
    if (answers(Id))
      break;
    // A response to an earlier request on this connection, late or repeated.
    HasSkippedResponse = true;
    bool Discarded = co_await discardBody();
    if (!Discarded)
      co_return Result::Broken;
  }
  bool Success = status() < 300;
  // `Signed`: the target set the header field that marks its own responses.
  if (Success && !HeaderValues.Signed)
    co_return Result::Broken;
  co_return Result::Data;
}

bool TargetSend::answers(const std::string &Id) const {
  if (!HeaderValues.Id.empty())
    return HeaderValues.Id == Id;
  bool IsError = status() >= 300;
  bool IsFirstResponse = !ReusedConnection && !HasSkippedResponse;
  return IsError && IsFirstResponse;
}

asio::awaitable<bool> TargetSend::discardBody() {
  if (Wire->Response->need_eof())
    co_return false;
  Wire->BodyBuffer.resize(BodyBufferBytes);
  while (!Wire->Response->is_done()) {
    Wire->Response->get().body().data = Wire->BodyBuffer.data();
    Wire->Response->get().body().size = Wire->BodyBuffer.size();
    auto [ErrorCode, BytesRead] = co_await http_::async_read_some(
        *Wire->TcpStream, Wire->Buffer, *Wire->Response, Await);
    if (ErrorCode && ErrorCode != http_::error::need_buffer)
      co_return false;
    SkippedBytes += BytesRead;
    if (SkippedBytes > MaxSkippedBytes)
      co_return false;
  }
  co_return true;
}

asio::awaitable<TargetSend::Result> TargetSend::next(Clock::time_point Deadline,
                                                     milliseconds Timeout) {
  if (!DataAhead.empty()) {
    Part = std::exchange(DataAhead, {});
    co_return Result::Data;
  }
  Result Received = co_await readPart(Deadline, Timeout);
  co_return Received;
}

asio::awaitable<TargetSend::Result>
TargetSend::readAhead(Clock::time_point Deadline, milliseconds Timeout) {
  Result Received = co_await readPart(Deadline, Timeout);
  if (Received == Result::Data)
    DataAhead += bodyData();
  co_return Received;
}

asio::awaitable<TargetSend::Result>
TargetSend::readPart(Clock::time_point Deadline, milliseconds Timeout) {
  Part.clear();
  while (Part.empty()) {
    if (!Wire->HasRead) {
      if (Wire->Response->is_done())
        co_return endOfAnswer();
      if (Cancelled)
        co_return Result::Broken;
      if (Paused)
        co_return Result::Paused;
      // The timeout of the connection does not fire while bytes can be read
      // without a wait.
      if (Clock::now() >= Deadline)
        co_return Result::TimedOut;
      beginReadPart(std::min(Deadline, Clock::now() + Timeout));
    }
    bool Ended = co_await readEnded();
    if (!Ended)
      co_return Result::Paused;
    if (Wire->ErrorCode && Wire->ErrorCode != http_::error::need_buffer)
      co_return resultOf(Wire->ErrorCode);
    std::size_t Left = Wire->Response->get().body().size;
    Part.assign(Wire->BodyBuffer, 0, Wire->BodyBuffer.size() - Left);
  }
  co_return Result::Data;
}

TargetSend::Result TargetSend::endOfAnswer() {
  ConnectionLost = endsWithConnection();
  bool IsWhole = !endsWithConnection() ||
                 http::isWholeAtConnectionEnd(Outgoing->IsWritten);
  if (!IsWhole)
    return Result::Broken;
  IsComplete = true;
  return Result::End;
}

bool TargetSend::pause() {
  if (!MayPause || Cancelled)
    return false;
  Paused = true;
  Wire->Changed.cancel();
  return true;
}

void TargetSend::recordStatements() {
  core::BootTime Now = core::BootClock::now();
  if (HeaderValues.Leaving)
    Context.Targets.recordLeaving(Target.incarnation(),
                                  serving::StatementSource::Answer, Now);
  if (HeaderValues.RetryAfter)
    Context.Targets.recordPause(Target.incarnation(), *HeaderValues.RetryAfter,
                                Now);
}

unsigned TargetSend::status() const {
  return Wire->Response->get().result_int();
}

bool TargetSend::endsWithConnection() const {
  return Wire->Response->need_eof();
}

const platform::HttpFields &TargetSend::head() const {
  return Wire->Response->get().base();
}

void TargetSend::release() {
  bool Reusable =
      IsComplete && !HasSkippedResponse && Wire->Response->keep_alive() &&
      !Wire->Response->need_eof() && Wire->Buffer.size() == 0 && Outgoing &&
      Outgoing->IsWritten &&
      http::SharedBody::size(Outgoing->Message.body()) <= MaxUnreadBodyBytes;
  if (!Reusable)
    return cancel();
  resetOnClose(Wire->TcpStream->socket(), false);
  returnToPool();
}

void TargetSend::releaseUnused() {
  // How long a pooled connection was idle is not known here any more.
  if (Cancelled || ReusedConnection)
    return cancel();
  returnToPool();
}

void TargetSend::returnToPool() {
  if (Context.Targets.isLeaving(Target.incarnation()))
    return cancel();
  Wire->TcpStream->expires_never();
  Context.TargetConnections.release(Target.Id, std::move(Wire->TcpStream),
                                    core::BootClock::now(),
                                    HeaderValues.KeepFor);
}

void TargetSend::cancel() {
  Cancelled = true;
  boost::system::error_code Ignored; // The connection is unusable either way.
  if (Wire->TcpStream)
    Wire->TcpStream->socket().close(Ignored);
}

} // namespace rosemarylane
