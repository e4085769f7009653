#include "node/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>

using namespace rosemarylane;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Answers every request on every connection, and counts open connections.
class Peer {
public:
  explicit Peer(asio::io_context &Loop, milliseconds Wait = milliseconds(0))
      : Loop(Loop), Wait(Wait),
        Acceptor(Loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    asio::co_spawn(Loop, accept(), asio::detached);
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }
  std::size_t open() const { return Open; }

private:
  asio::awaitable<void> accept() {
    for (;;) {
      Tcp::socket Socket = co_await Acceptor.async_accept(asio::use_awaitable);
      asio::co_spawn(Loop,
                     serve(std::make_shared<Tcp::socket>(std::move(Socket))),
                     asio::detached);
    }
  }

  asio::awaitable<void> serve(std::shared_ptr<Tcp::socket> Socket) {
    ++Open;
    std::string Buffer;
    for (;;) {
      boost::system::error_code Failed;
      std::size_t Size = co_await asio::async_read_until(
          *Socket, asio::dynamic_buffer(Buffer), "\r\n\r\n",
          asio::redirect_error(asio::use_awaitable, Failed));
      if (Failed)
        break;
      Buffer.erase(0, Size);
      asio::steady_timer Timer(Loop, Wait);
      co_await Timer.async_wait(asio::use_awaitable);
      static const std::string Answer =
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      co_await asio::async_write(*Socket, asio::buffer(Answer),
                                 asio::use_awaitable);
    }
    --Open;
  }

  asio::io_context &Loop;
  milliseconds Wait;
  Tcp::acceptor Acceptor;
  std::size_t Open = 0;
};

/// Answers each connection's request with \p Start and then \p Endless again
/// and again, until the connection is closed.
class EndlessPeer {
public:
  EndlessPeer(asio::io_context &Loop, std::string Start, std::string Endless)
      : Start(std::move(Start)), Endless(std::move(Endless)),
        Acceptor(Loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    asio::co_spawn(Loop, serve(), asio::detached);
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }
  std::size_t sentBytes() const { return SentBytes; }

private:
  asio::awaitable<void> serve() {
    Tcp::socket Socket = co_await Acceptor.async_accept(asio::use_awaitable);
    std::string Request;
    co_await asio::async_read_until(Socket, asio::dynamic_buffer(Request),
                                    "\r\n\r\n", asio::use_awaitable);
    SentBytes += co_await asio::async_write(Socket, asio::buffer(Start),
                                            asio::use_awaitable);
    for (;;)
      SentBytes += co_await asio::async_write(Socket, asio::buffer(Endless),
                                              asio::use_awaitable);
  }

  std::string Start;
  std::string Endless;
  Tcp::acceptor Acceptor;
  std::size_t SentBytes = 0;
};

/// What a call to an `EndlessPeer` with a body limit of 24 KiB gave.
struct EndlessCall {
  bool Answered = false;
  std::chrono::steady_clock::duration Took{0};
  std::size_t SentBytes = 0;
};

constexpr milliseconds EndlessCallTimeout{600};

EndlessCall callEndlessPeer(const std::string &Start,
                            const std::string &Endless) {
  asio::io_context Loop;
  HttpClient Calls(Loop);
  EndlessPeer Peer(Loop, Start, Endless);
  EndlessCall Result;
  asio::co_spawn(
      Loop,
      [&]() -> asio::awaitable<void> {
        HttpClient::Call Call;
        Call.Request.Method = "GET";
        Call.Request.Target = "/";
        Call.Timeout = EndlessCallTimeout;
        Call.MaxBodyBytes = 24 << 10;
        auto Begin = std::chrono::steady_clock::now();
        const std::string Address = Peer.address();
        auto Answer = co_await Calls.exchange(Address, std::move(Call));
        Result.Answered = Answer.has_value();
        Result.Took = std::chrono::steady_clock::now() - Begin;
        Loop.stop();
      },
      asio::detached);
  Loop.run_for(seconds(5));
  Result.SentBytes = Peer.sentBytes();
  return Result;
}

asio::awaitable<void> callOnce(HttpClient &Calls, const std::string &Address) {
  HttpClient::Call Call;
  Call.Request.Method = "GET";
  Call.Request.Target = "/";
  auto Answer = co_await Calls.exchange(Address, std::move(Call));
  BOOST_TEST(Answer.has_value());
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_calls)

BOOST_AUTO_TEST_CASE(an_idle_connection_is_closed_while_other_calls_go_on) {
  // An origin that accepts few connections must not lose them to hosts that
  // have nothing more to ask.
  asio::io_context Loop;
  HttpClient Calls(Loop);
  Peer Idle(Loop);
  Peer Busy(Loop);
  const std::string IdleAddress = Idle.address();
  const std::string BusyAddress = Busy.address();
  std::size_t OpenAtFirst = 0;
  asio::co_spawn(
      Loop,
      [&]() -> asio::awaitable<void> {
        co_await callOnce(Calls, IdleAddress);
        OpenAtFirst = Idle.open();
        asio::steady_timer Timer(Loop);
        for (int I = 0; I < 60; ++I) {
          co_await callOnce(Calls, BusyAddress);
          Timer.expires_after(milliseconds(100));
          co_await Timer.async_wait(asio::use_awaitable);
        }
        Loop.stop();
      },
      asio::detached);
  Loop.run_for(seconds(10));
  BOOST_TEST(OpenAtFirst == 1U);
  BOOST_TEST(Idle.open() == 0U);
}

BOOST_AUTO_TEST_CASE(a_wait_at_the_other_end_is_no_time_on_the_link) {
  // Four hosts took their neighbours' queues for slow links of their own, and
  // fetched weights one chunk at a time.
  asio::io_context Loop;
  HttpClient Calls(Loop);
  Peer Queueing(Loop, milliseconds(400));
  const std::string Address = Queueing.address();
  std::chrono::steady_clock::duration Took = seconds(9);
  asio::co_spawn(
      Loop,
      [&]() -> asio::awaitable<void> {
        HttpClient::Call Call;
        Call.Request.Method = "GET";
        Call.Request.Target = "/";
        Call.OnBodyEnd = [&](const HttpClient::BodyTransfer &Body) {
          Took = Body.Time;
        };
        auto Answer = co_await Calls.exchange(Address, std::move(Call));
        BOOST_TEST(Answer.has_value());
        Loop.stop();
      },
      asio::detached);
  Loop.run_for(seconds(5));
  BOOST_TEST((Took < milliseconds(200)));
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_answer_end_the_call) {
  // What the sockets of both ends and one buffer of the client can hold.
  constexpr std::size_t MostSentBytes = 16 << 20;
  const std::string Filler(16 << 10, 'a');
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string Fields;
  while (Fields.size() < Filler.size())
    Fields += "X-More: more\r\n";
  const std::pair<std::string, std::string> Endless[] = {
      {"HTTP/1.1 200 ", Filler},
      {"HTTP/1.1 200 OK\r\n", Fields},
      {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", Filler},
      {"HTTP/1.1 200 OK\r\n\r\n", Filler},
      {Chunked, "4\r\nmore\r\n"},
      {Chunked + "4;", Filler},
      {Chunked + "0\r\n", Fields},
  };
  for (const auto &[Start, More] : Endless) {
    BOOST_TEST_CONTEXT(Start << More.substr(0, 16)) {
      EndlessCall Call = callEndlessPeer(Start, More);
      BOOST_TEST(!Call.Answered);
      BOOST_TEST((Call.Took > milliseconds(0)));
      BOOST_TEST((Call.Took < EndlessCallTimeout + milliseconds(200)));
      BOOST_TEST(Call.SentBytes < MostSentBytes);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
