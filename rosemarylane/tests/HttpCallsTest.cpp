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

BOOST_AUTO_TEST_SUITE_END()
