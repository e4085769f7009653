#include "gateway/TargetSend.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

namespace rosemarylane {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http_ = boost::beast::http;
using std::chrono::milliseconds;

namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds ConnectTimeout{400};
/// A kept connection that was idle for longer is not trusted with a request
/// that must not run twice.
constexpr milliseconds FreshIdle{0};
constexpr milliseconds UsualIdle{4000};
constexpr std::size_t PartBytes = 8 << 10;
/// Bodies up to this size leave in one write that does not wait for the other
/// end to read.
constexpr std::size_t SmallBody = 8 << 10;

} // namespace

namespace {

TargetSend::Step failureOf(boost::system::error_code Failed) {
  return Failed == beast::error::timeout ? TargetSend::Step::Silent
                                         : TargetSend::Step::Broken;
}

} // namespace

/// A request on its way out; kept alive by the write itself.
struct TargetSend::Writing {
  http_::request<http_::string_body> Message;
  bool Done = false;
};

TargetSend::TargetSend(GatewayContext &Context, serving::SelectedTarget Target)
    : Context(Context), Target(std::move(Target)) {}

TargetSend::~TargetSend() = default;

asio::awaitable<TargetSend::Step>
TargetSend::start(const CallerConnection::Request &Request,
                  const platform::HttpFields &Fields, const std::string &Id,
                  bool FreshOnly, Clock::time_point Until,
                  milliseconds Patience) {
  HeadRequest = Request.method() == http_::verb::head;
  bool Connected = co_await connect(FreshOnly, Until);
  if (!Connected)
    co_return Step::NotSent;
  if (Cancelled)
    co_return Step::Broken;
  Stream->expires_at(std::min(Until, Clock::now() + Patience));
  // A write that fails may still be answered: the target may have refused the
  // request before it had read all of it.
  co_await write(Request, Fields);
  if (Cancelled)
    co_return Step::Broken;
  Step Head = co_await readHead(Id);
  co_return Head;
}

asio::awaitable<bool> TargetSend::connect(bool FreshOnly,
                                          Clock::time_point Until) {
  Stream = Context.Pool.takeIdle(Target.Id, core::BootClock::now(),
                                 FreshOnly ? FreshIdle : UsualIdle);
  if (Stream)
    co_return true;
  auto Left = std::chrono::duration_cast<milliseconds>(Until - Clock::now());
  if (Left <= milliseconds(0))
    co_return false;
  Stream = co_await Context.Pool.connect(Target.Address,
                                         std::min(Left, ConnectTimeout));
  co_return Stream != nullptr;
}

asio::awaitable<void>
TargetSend::write(const CallerConnection::Request &Request,
                  const platform::HttpFields &Fields) {
  Write = std::make_shared<Writing>();
  http_::request<http_::string_body> &Message = Write->Message;
  static_cast<http_::fields &>(Message.base()) = Fields;
  Message.version(11);
  Message.method_string(Request.method_string());
  Message.target(Request.target());
  Message.body() = Request.body();
  Message.prepare_payload();
  if (Request.body().size() > SmallBody) {
    auto Finish = [Out = Write](boost::system::error_code Failed, std::size_t) {
      Out->Done = !Failed;
    };
    http_::async_write(*Stream, Message, std::move(Finish));
    co_return;
  }
  auto [Failed, Written] = co_await http_::async_write(*Stream, Message, Await);
  Write->Done = !Failed;
}

void TargetSend::newParser(bool ForHead) {
  Answer.emplace();
  Answer->body_limit(boost::none);
  Answer->skip(ForHead);
}

asio::awaitable<TargetSend::Step> TargetSend::readHead(const std::string &Id) {
  for (;;) {
    newParser(HeadRequest);
    auto [Failed, Size] =
        co_await http_::async_read_header(*Stream, Buffer, *Answer, Await);
    if (Failed)
      co_return failureOf(Failed);
    if (Answer->get().result_int() == 100)
      continue;
    Marks = platform::readAnswer(status(), head());
    bool Success = status() < 300;
    bool Foreign = Marks.Id.empty() ? Success : Marks.Id != Id;
    if (!Foreign)
      break;
    // A late answer to an earlier request of this connection.
    bool Skipped = co_await skipBody();
    if (!Skipped)
      co_return Step::Broken;
  }
  bool Success = status() < 300;
  if (Success && !Marks.Signed)
    co_return Step::Broken;
  co_return Step::Got;
}

asio::awaitable<bool> TargetSend::skipBody() {
  if (Answer->need_eof())
    co_return false;
  Bytes.resize(PartBytes);
  while (!Answer->is_done()) {
    Answer->get().body().data = Bytes.data();
    Answer->get().body().size = Bytes.size();
    auto [Failed, Size] =
        co_await http_::async_read_some(*Stream, Buffer, *Answer, Await);
    if (Failed && Failed != http_::error::need_buffer)
      co_return false;
  }
  co_return true;
}

asio::awaitable<TargetSend::Step> TargetSend::next(Clock::time_point Until,
                                                   milliseconds Patience) {
  PartSize = 0;
  Bytes.resize(PartBytes);
  while (PartSize == 0) {
    if (Answer->is_done()) {
      Whole = true;
      co_return Step::End;
    }
    if (Cancelled)
      co_return Step::Broken;
    Stream->expires_at(std::min(Until, Clock::now() + Patience));
    Answer->get().body().data = Bytes.data();
    Answer->get().body().size = Bytes.size();
    Answer->get().body().more = true;
    auto [Failed, Size] =
        co_await http_::async_read_some(*Stream, Buffer, *Answer, Await);
    if (Failed == beast::error::timeout)
      co_return Step::Silent;
    if (Failed && Failed != http_::error::need_buffer)
      co_return Step::Broken;
    PartSize = Bytes.size() - Answer->get().body().size;
  }
  co_return Step::Got;
}

unsigned TargetSend::status() const { return Answer->get().result_int(); }

const platform::HttpFields &TargetSend::head() const {
  return Answer->get().base();
}

void TargetSend::release() {
  bool Reusable = Whole && Answer->keep_alive() && !Answer->need_eof() &&
                  Buffer.size() == 0 && Write && Write->Done;
  if (!Reusable)
    return cancel();
  Stream->expires_never();
  Context.Pool.keep(Target.Id, std::move(Stream), core::BootClock::now(),
                    Marks.KeepFor);
}

void TargetSend::cancel() {
  Cancelled = true;
  boost::system::error_code Ignored; // The connection ends either way.
  if (Stream)
    Stream->socket().close(Ignored);
}

} // namespace rosemarylane
