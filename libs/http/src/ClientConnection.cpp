#include "ClientConnection.h"

#include "http/ConnectionEnd.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/error.hpp>

namespace rosemarylane::http {

namespace beast = boost::beast;
using boost::system::error_code;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t ReadBytes = 64 << 10;
constexpr std::size_t MaxHeadBytes = 64 << 10;
/// Size of all interim answers to one request.
constexpr std::size_t MaxInterimBytes = 64 << 10;
/// Size of one chunk's header, or of the last chunk's with the trailer.
constexpr std::size_t MaxChunkHeaderBytes = 64 << 10;

bool informational(unsigned Status) { return Status >= 100 && Status < 200; }

} // namespace

ClientConnection::ClientConnection(boost::asio::io_context &Context,
                                   boost::asio::ip::tcp::endpoint Address)
    : Socket(Context), Address(std::move(Address)), Timer(Context) {}

void ClientConnection::run(const std::string &Bytes, bool AnswerHeadOnly,
                           Deadlines Given,
                           std::optional<steady_clock::time_point> GivenUntil,
                           ExchangeHooks Hooks) {
  To = std::move(Hooks);
  Limits = Given;
  Until = GivenUntil;
  HeadOnly = AnswerHeadOnly;
  Output = Bytes;
  Written = 0;
  WriteTried = false;
  AnswerBegun = false;
  InterimBytes = 0;
  OnKeptClosed = nullptr;
  resetParser();
  if (Connected) {
    withdrawOnClose(true);
    write();
  } else {
    connect();
  }
}

void ClientConnection::keep(std::function<void()> Hook) {
  OnKeptClosed = std::move(Hook);
  KeptSince = steady_clock::now();
  read();
}

void ClientConnection::close() {
  if (Closed)
    return;
  Closed = true;
  To = {};
  OnKeptClosed = nullptr;
  error_code Ignored;
  Socket.close(Ignored);
  Timer.cancel();
}

void ClientConnection::resetParser() {
  Incoming.emplace(MaxHeadBytes);
  Incoming->eager(true);
  Incoming->body_limit(To.MaxBodyBytes);
  Incoming->skip(HeadOnly);
  HeadPassed = false;
}

void ClientConnection::connect() {
  arm(Limits.Connect, "connect deadline passed");
  Socket.async_connect(Address, [Self = shared_from_this()](error_code Error) {
    if (Self->Closed)
      return;
    if (Error)
      return Self->fail(Error::Kind::NotSent, "connect: " + Error.message());
    if (Self->late())
      return Self->expire("connected after a deadline");
    Self->Connected = true;
    error_code Ignored;
    Self->Socket.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
    Self->withdrawOnClose(true);
    Self->write();
    Self->read();
  });
}

/// Bytes that still wait in the socket are sent after a plain close, however
/// late; after this one they are dropped.
void ClientConnection::withdrawOnClose(bool Withdraw) {
  error_code Ignored;
  Socket.set_option(boost::asio::socket_base::linger(Withdraw, 0), Ignored);
}

void ClientConnection::write() {
  arm(Limits.Idle, "the server takes no more of the request");
  WriteTried = true;
  Socket.async_write_some(
      boost::asio::buffer(Output.data() + Written, Output.size() - Written),
      [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
        Self->afterWrite(Error, Bytes);
      });
}

void ClientConnection::afterWrite(error_code Error, std::size_t Bytes) {
  if (Closed || !To.OnEnd)
    return;
  Written += Bytes;
  if (Error && Written == 0) {
    WriteTried = false;
    return fail(Error::Kind::NotSent, "write: " + Error.message());
  }
  // The server may have answered before it closed: the read tells.
  if (Error)
    return arm(Limits.Idle, "the connection broke within the request");
  if (Written < Output.size())
    return late() ? expire("written to after a deadline") : write();
  awaitAnswer();
}

/// Only the head and parts of the body move the deadline on: other bytes may
/// come without end.
void ClientConnection::awaitAnswer() {
  if (Written < Output.size())
    return;
  if (HeadPassed)
    arm(Limits.Idle, "idle deadline passed");
  else
    arm(Limits.FirstByte, "first-byte deadline passed");
}

void ClientConnection::read() {
  if (Reading || Closed)
    return;
  Reading = true;
  Socket.async_read_some(
      Input.prepare(ReadBytes),
      [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
        Self->afterRead(Error, Bytes);
      });
}

void ClientConnection::afterRead(error_code Error, std::size_t Bytes) {
  Reading = false;
  if (Closed)
    return;
  if (!To.OnEnd) {
    // Kept, and either closed by the server or sent bytes that nobody asked
    // for.
    auto Hook = std::exchange(OnKeptClosed, nullptr);
    close();
    if (Hook)
      Hook();
    return;
  }
  if (Error == boost::asio::error::eof && HeadPassed && Incoming->need_eof())
    return finishAtEnd();
  if (Error)
    return fail(Error::Kind::Interrupted,
                AnswerBegun ? "the answer ended early: " + Error.message()
                            : "closed before an answer: " + Error.message());
  AnswerBegun = true;
  Input.commit(Bytes);
  parse();
  if (!Closed)
    read();
}

void ClientConnection::parse() {
  while (!Closed && To.OnEnd && Input.size() > 0) {
    error_code Error;
    std::size_t Used = Incoming->put(Input.data(), Error);
    Input.consume(Used);
    bool NeedMore = Error == beast::http::error::need_more;
    if (Error == beast::http::error::bad_status)
      return fail(Error::Kind::Malformed, noAnswer());
    if (Error && !NeedMore)
      return fail(Error::Kind::Malformed, Error.message());
    if (Incoming->is_header_done() &&
        informational(Incoming->get().result_int())) {
      InterimBytes += Used;
      if (InterimBytes > MaxInterimBytes)
        return fail(Error::Kind::Malformed, "interim answers without end");
      resetParser();
      continue;
    }
    passOn();
    if (Closed || !To.OnEnd)
      return;
    if (Incoming->is_done())
      return finish();
    if (NeedMore || Used == 0)
      break;
  }
  // The parser limits heads and bodies, but not what stands between chunks.
  if (Incoming->is_header_done() && Input.size() > MaxChunkHeaderBytes)
    fail(Error::Kind::Malformed, "chunk header over the size limit");
}

std::string ClientConnection::noAnswer() const {
  return "no answer: status " + std::to_string(Incoming->get().result_int()) +
         " from " + Address.address().to_string() + ":" +
         std::to_string(Address.port());
}

void ClientConnection::passOn() {
  if (!Incoming->is_header_done())
    return;
  // Hooks may close this connection; they stay alive until they return.
  auto Self = shared_from_this();
  if (!HeadPassed) {
    HeadPassed = true;
    awaitAnswer();
    ResponseHead Head;
    Head.Status = Incoming->get().result_int();
    for (const auto &Field : Incoming->get())
      Head.Fields.add(std::string(Field.name_string()),
                      std::string(Field.value()));
    if (auto Hook = To.OnHead)
      Hook(Head);
  }
  if (Closed || !To.OnEnd)
    return;
  std::string Part = std::exchange(Incoming->get().body(), {});
  if (Part.empty())
    return;
  awaitAnswer();
  if (auto Hook = To.OnPart)
    Hook(std::move(Part));
}

void ClientConnection::finish() {
  if (Written == Output.size())
    withdrawOnClose(false);
  ExchangeEnd End;
  End.Reusable =
      Incoming->keep_alive() && Input.size() == 0 && Written == Output.size();
  end(std::move(End));
}

/// An answer without length or chunks ends with its connection.
void ClientConnection::finishAtEnd() {
  if (!isWholeAtConnectionEnd(Written == Output.size()))
    return fail(Error::Kind::Interrupted,
                "the connection ended within the request");
  error_code Error;
  Incoming->put_eof(Error);
  if (Error)
    return fail(Error::Kind::Malformed, Error.message());
  finish();
}

void ClientConnection::fail(Error::Kind Kind, std::string Detail) {
  ExchangeEnd End;
  End.Failure = Error{Kind, std::move(Detail)};
  End.ClosedUnanswered =
      Kind == Error::Kind::Interrupted && !AnswerBegun && !Late;
  End.NothingSent = !WriteTried;
  End.Late = Late;
  end(std::move(End));
}

void ClientConnection::end(ExchangeEnd End) {
  Timer.cancel();
  auto OnEnd = std::exchange(To, {}).OnEnd;
  if (!End.Reusable)
    close();
  if (OnEnd)
    OnEnd(std::move(End));
}

/// Whether a deadline has passed that its timer has not told yet, because the
/// process stood still.
bool ClientConnection::late() const {
  auto Now = steady_clock::now();
  return Timer.expiry() <= Now || (Until && *Until <= Now);
}

void ClientConnection::expire(const char *What) {
  if (Closed || !To.OnEnd)
    return;
  Late = true;
  fail(WriteTried ? Error::Kind::Interrupted : Error::Kind::NotSent, What);
}

void ClientConnection::arm(std::chrono::milliseconds Limit, const char *What) {
  Timer.expires_after(Limit);
  Timer.async_wait([Weak = weak_from_this(), What](error_code Error) {
    auto Self = Weak.lock();
    // A wait whose time was moved may already have been on its way here.
    if (!Self || Error || Self->Closed || !Self->To.OnEnd ||
        Self->Timer.expiry() > steady_clock::now())
      return;
    Self->expire(What);
  });
}

} // namespace rosemarylane::http
