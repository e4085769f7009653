#include "ServerConnection.h"

#include "ServerExchange.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/error.hpp>

namespace rosemarylane::http {

namespace beast = boost::beast;
using boost::system::error_code;

namespace {

constexpr std::size_t ReadBytes = 16 << 10;
/// What is read at once of what gets discarded.
constexpr std::size_t LingerReadBytes = 2 << 10;
/// How long a connection whose last answer is out waits for the caller's close.
constexpr std::chrono::milliseconds LingerTime{1000};
constexpr unsigned HttpVersion11 = 11;

struct RefusalOfInput {
  unsigned Status;
  std::string_view Title;
};

RefusalOfInput refusalFor(error_code Error) {
  if (Error == beast::http::error::header_limit ||
      Error == beast::http::error::buffer_overflow)
    return {431, "Request header fields too large"};
  if (Error == beast::http::error::body_limit)
    return {413, "Request body too large"};
  return {400, "Malformed request"};
}

Request toRequest(beast::http::request<beast::http::string_body> &&Message) {
  Request R;
  R.Method = std::string(Message.method_string());
  R.Target = std::string(Message.target());
  for (const auto &Field : Message)
    R.Fields.add(std::string(Field.name_string()), std::string(Field.value()));
  R.Body = std::move(Message.body());
  return R;
}

beast::http::fields toFields(const Headers &Given) {
  beast::http::fields Fields;
  for (const auto &[Name, Value] : Given)
    Fields.insert(Name, Value);
  return Fields;
}

bool hasNoBody(unsigned Status) {
  return Status < 200 || Status == 204 || Status == 304;
}

} // namespace

ServerConnection::ServerConnection(
    boost::asio::ip::tcp::socket Socket, const ServerSettings &Settings,
    RequestMemory &Memory, ConnectionLimit &Places,
    std::shared_ptr<std::atomic<std::size_t>> InProgress, ConnectionHooks Hooks)
    : Socket(std::move(Socket)), Settings(Settings), Memory(Memory),
      Number(Hooks.Number), InProgress(std::move(InProgress)),
      Hooks(std::move(Hooks)), Place(Places, [this] { yieldPlace(); }),
      ReadTimer(this->Socket.get_executor()),
      WriteTimer(this->Socket.get_executor()),
      Held(Memory,
           [this] {
             refuse(503, "Overloaded", "too much is held of other requests");
           }),
      Unread(Memory, [this] { close(); }) {
  resetParser();
}

void ServerConnection::resetParser() {
  Incoming.emplace(Settings.MaxHeaderBytes);
  Incoming->eager(true);
  Incoming->body_limit(Settings.MaxBodyBytes);
  ExpectationAnswered = false;
  ReceivingRequest = false;
}

void ServerConnection::start() {
  error_code Ignored;
  Socket.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
  Socket.non_blocking(true, Ignored);
  armReadTimeout();
  read();
}

void ServerConnection::close() {
  if (Closed)
    return;
  Closed = true;
  Place.leave();
  freeInput();
  Unread.release();
  error_code Ignored;
  Socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, Ignored);
  Socket.close(Ignored);
  ReadTimer.cancel();
  WriteTimer.cancel();
  if (Answering || AwaitingLast)
    --*InProgress;
  AwaitingLast = false;
  if (std::exchange(Answering, false)) {
    if (auto Exchange = Current.lock())
      Exchange->gone();
  }
  if (auto OnClosed = std::exchange(Hooks.OnClosed, nullptr))
    OnClosed(*this);
}

void ServerConnection::discard() {
  Current.reset();
  Hooks = {};
  close();
}

void ServerConnection::drain() { Draining = true; }

// Reading

void ServerConnection::read() {
  // A caller that sends ahead while its request is answered is read no further
  // than the next head.
  if (Reading || Closed ||
      (Answering && Input.size() >= Settings.MaxHeaderBytes))
    return;
  Reading = true;
  // Waits without a buffer: what has been read may be parsed or freed before
  // more comes.
  Socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                    [Self = shared_from_this()](error_code Error) {
                      Self->onReadable(Error);
                    });
}

void ServerConnection::onReadable(error_code Error) {
  Reading = false;
  if (Closed)
    return;
  std::size_t Bytes = 0;
  if (!Error)
    Bytes = Socket.read_some(
        Input.prepare(Lingering ? LingerReadBytes : ReadBytes), Error);
  if (Error == boost::asio::error::would_block)
    return read();
  if (Error)
    return close();
  if (Lingering)
    return read();
  Input.commit(Bytes);
  parse();
  accountInput();
  read();
}

void ServerConnection::accountInput() {
  // What comes ahead while a request is answered is limited by itself.
  if (Closed || Answering || Lingering)
    return;
  if (!ReceivingRequest)
    return Held.release();
  Held.setUnfinished(Input.capacity() + requestMemory());
}

std::size_t ServerConnection::requestMemory() const {
  return Incoming->fieldMemory() + Incoming->get().body().capacity();
}

void ServerConnection::freeInput() {
  Held.release();
  resetParser();
  freeBuffer(Input);
}

void ServerConnection::parse() {
  if (Answering || Lingering || Closed || Input.size() == 0)
    return;
  ReceivingRequest = true;
  error_code Error;
  std::size_t Used = Incoming->put(Input.data(), Error);
  Input.consume(Used);
  if (Error && Error != beast::http::error::need_more) {
    auto [Status, Title] = refusalFor(Error);
    return refuse(Status, Title, Error.message());
  }
  if (Incoming->is_done())
    return startExchange();
  if (Incoming->is_header_done() && Input.size() > MaxChunkFramingBytes)
    return refuse(431, "Chunk framing too large",
                  "the extension of a chunk or the trailer is too long");
  if (Incoming->is_header_done() && !ExpectationAnswered && bodyIsInVain())
    return refuse(503, "Overloaded", "too much is held of other requests");
  answerExpectation();
}

bool ServerConnection::bodyIsInVain() const {
  auto Length = Incoming->content_length();
  return Length && !Memory.hasRoom(*Length);
}

void ServerConnection::answerExpectation() {
  if (!Incoming->is_header_done() || ExpectationAnswered)
    return;
  ExpectationAnswered = true;
  if (beast::iequals(Incoming->get()[beast::http::field::expect],
                     "100-continue"))
    send("HTTP/1.1 100 Continue\r\n\r\n");
}

void ServerConnection::startExchange() {
  ReadTimer.cancel();
  if (!Held.tryBegin(requestMemory()))
    return refuse(503, "Overloaded", "too much is held of other requests");
  Place.beginRequest();
  KeepAlive = Incoming->keep_alive() && !Draining;
  Chunked = Incoming->get().version() >= HttpVersion11;
  HeadOnly = Incoming->get().method() == beast::http::verb::head;
  Request Received = toRequest(Incoming->release());
  resetParser();
  if (Input.size() == 0)
    freeBuffer(Input);
  Answering = true;
  AnswerEnded = false;
  Streaming = false;
  if (!std::exchange(AwaitingLast, false))
    ++*InProgress;
  auto Exchange = std::make_shared<ServerExchange>(
      shared_from_this(), ++ExchangeId, std::move(Received));
  Current = Exchange;
  try {
    Hooks.OnRequest(Exchange);
  } catch (const std::exception &E) {
    Exchange->respond(
        problemResponse(500, "Internal error", E.what(), "unknown"));
  }
}

void ServerConnection::refuse(unsigned Status, std::string_view Title,
                              std::string_view Detail) {
  KeepAlive = false;
  HeadOnly = false;
  Answering = true;
  AnswerEnded = false;
  if (!std::exchange(AwaitingLast, false))
    ++*InProgress;
  Current.reset();
  freeInput();
  respond(++ExchangeId, problemResponse(Status, Title, Detail, "no"));
}

void ServerConnection::yieldPlace() {
  if (ReceivingRequest && !Answering && !Lingering)
    refuse(503, "Overloaded", "too many connections");
  close();
}

void ServerConnection::armReadTimeout() {
  ReadTimer.expires_after(AwaitingLast ? Settings.DrainGrace
                                       : Settings.ReadTimeout);
  ReadTimer.async_wait([Weak = weak_from_this()](error_code Error) {
    auto Self = Weak.lock();
    if (Self && !Error)
      Self->onReadTimeout();
  });
}

void ServerConnection::onReadTimeout() {
  if (Answering || Closed)
    return;
  if (ReceivingRequest)
    refuse(408, "Request timeout", "the request did not arrive in time");
  else
    close();
}

// Writing

void ServerConnection::writeHead(beast::http::fields &Fields, unsigned Status) {
  KeepAlive = KeepAlive && !Draining;
  if (!KeepAlive)
    Fields.set(beast::http::field::connection, "close");
  beast::http::fields::writer Writer(Fields, HttpVersion11, Status);
  send(beast::buffers_to_string(Writer.get()));
}

void ServerConnection::respond(std::uint64_t Id, const Response &Whole) {
  if (!present(Id) || Streaming)
    return;
  auto Fields = toFields(Whole.Head.Fields);
  bool Body = !HeadOnly && !hasNoBody(Whole.Head.Status);
  if (!hasNoBody(Whole.Head.Status))
    Fields.set(beast::http::field::content_length,
               std::to_string(Whole.Body.size()));
  Fields.erase(beast::http::field::transfer_encoding);
  writeHead(Fields, Whole.Head.Status);
  if (Body)
    send(Whole.Body);
  endAnswer();
}

void ServerConnection::startStream(std::uint64_t Id, const ResponseHead &Head) {
  if (!present(Id) || Streaming)
    return;
  Streaming = true;
  auto Fields = toFields(Head.Fields);
  Fields.erase(beast::http::field::content_length);
  Fields.erase(beast::http::field::transfer_encoding);
  if (Chunked)
    Fields.set(beast::http::field::transfer_encoding, "chunked");
  else
    KeepAlive = false;
  writeHead(Fields, Head.Status);
}

void ServerConnection::write(std::uint64_t Id, std::string_view Part) {
  if (!present(Id) || !Streaming || HeadOnly)
    return;
  if (Queued > Settings.MaxBacklogBytes)
    return close();
  if (Chunked)
    send(beast::buffers_to_string(
        beast::http::make_chunk(boost::asio::buffer(Part))));
  else
    send(Part);
}

void ServerConnection::finish(std::uint64_t Id) {
  if (!present(Id))
    return;
  if (!Streaming)
    return abort(Id);
  if (Chunked && !HeadOnly)
    send(beast::buffers_to_string(beast::http::make_chunk_last()));
  endAnswer();
}

void ServerConnection::abort(std::uint64_t Id) {
  if (!present(Id))
    return;
  KeepAlive = false;
  // The missing last chunk tells; what was written still arrives.
  if (Streaming && Chunked && !HeadOnly)
    return endAnswer();
  // A reset tells also a caller that reads until the close.
  error_code Ignored;
  Socket.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
  AnswerEnded = true;
  close();
}

void ServerConnection::send(std::string_view Bytes) {
  if (Closed)
    return;
  Waiting.append(Bytes);
  Queued += Bytes.size();
  Unread.setUnread(Queued);
  flush();
}

void ServerConnection::flush() {
  if (WriteActive || Closed)
    return;
  if (Written == Writing.size()) {
    Writing.clear();
    Written = 0;
    Writing.swap(Waiting);
  }
  if (Writing.empty()) {
    if (Answering && AnswerEnded)
      afterAnswer();
    return;
  }
  WriteActive = true;
  WriteTimer.expires_after(Settings.WriteTimeout);
  WriteTimer.async_wait([Weak = weak_from_this()](error_code Error) {
    auto Self = Weak.lock();
    if (Self && !Error && Self->WriteActive)
      Self->close();
  });
  Socket.async_write_some(
      boost::asio::buffer(Writing.data() + Written, Writing.size() - Written),
      [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
        Self->afterWrite(Error, Bytes);
      });
}

void ServerConnection::afterWrite(error_code Error, std::size_t Bytes) {
  WriteActive = false;
  WriteTimer.cancel();
  if (Closed)
    return;
  if (Error)
    return close();
  Written += Bytes;
  Queued -= Bytes;
  Unread.setTaken(Queued);
  flush();
}

void ServerConnection::endAnswer() {
  AnswerEnded = true;
  flush();
}

void ServerConnection::afterAnswer() {
  Answering = false;
  Held.release();
  if (!KeepAlive || !Draining)
    --*InProgress;
  if (!KeepAlive)
    return linger();
  // The caller may take the connection for kept: a request on its way is still
  // answered.
  AwaitingLast = Draining;
  Place.endRequest();
  armReadTimeout();
  // Posted, since the handler may still be on the stack.
  boost::asio::post(Socket.get_executor(), [Self = shared_from_this()] {
    Self->parse();
    Self->accountInput();
    Self->read();
  });
}

void ServerConnection::linger() {
  Lingering = true;
  Place.endLast();
  error_code Ignored;
  Socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, Ignored);
  freeBuffer(Input);
  read();
  ReadTimer.expires_after(LingerTime);
  ReadTimer.async_wait([Weak = weak_from_this()](error_code Error) {
    auto Self = Weak.lock();
    if (Self && !Error)
      Self->close();
  });
}

} // namespace rosemarylane::http
