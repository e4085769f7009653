#include "node/PeerServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <vector>

using namespace rosemarylane;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t AnswerBytes = 32 << 10;
constexpr std::uint64_t BytesPerSecond = 64 << 10;

/// @return a port of the loopback address that was free a moment ago.
std::uint16_t freePort(asio::io_context &Loop) {
  Tcp::acceptor Probe(Loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  return Probe.local_endpoint().port();
}

asio::awaitable<Tcp::socket> ask(asio::io_context &Loop, std::uint16_t Port,
                                 std::string Path = "/chunk") {
  std::string Request = "GET " + Path + " HTTP/1.1\r\nHost: x\r\n\r\n";
  Tcp::socket Socket(Loop);
  co_await Socket.async_connect(
      Tcp::endpoint(asio::ip::address_v4::loopback(), Port),
      asio::use_awaitable);
  co_await asio::async_write(Socket, asio::buffer(Request),
                             asio::use_awaitable);
  co_return Socket;
}

/// @return a server that answers every request with `AnswerBytes`, at
/// `BytesPerSecond`.
std::unique_ptr<PeerServer> serveLargeAnswers(asio::io_context &Loop,
                                              std::uint16_t Port) {
  return PeerServer::listen(
      Loop, "127.0.0.1:" + std::to_string(Port),
      [](const http::Request &) -> asio::awaitable<http::Response> {
        http::Response Answer;
        Answer.Body = std::string(AnswerBytes, 'x');
        co_return Answer;
      },
      BytesPerSecond);
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_server)

// Load pattern: hosts give up on chunks that wait behind others at a busy
// sender. Answers that nobody reads took the link of those that are wanted.
BOOST_AUTO_TEST_CASE(
    large_answers_that_were_given_up_take_nothing_of_the_link) {
  asio::io_context Loop;
  std::uint16_t Port = freePort(Loop);
  auto Server = serveLargeAnswers(Loop, Port);
  BOOST_REQUIRE(Server);
  std::optional<std::chrono::steady_clock::duration> Took;
  asio::co_spawn(
      Loop,
      [&]() -> asio::awaitable<void> {
        Tcp::socket First = co_await ask(Loop, Port);
        std::vector<Tcp::socket> GivenUp;
        for (int I = 0; I < 6; ++I) {
          Tcp::socket Socket = co_await ask(Loop, Port);
          GivenUp.push_back(std::move(Socket));
        }
        asio::steady_timer Timer(Loop, milliseconds(100));
        co_await Timer.async_wait(asio::use_awaitable);
        GivenUp.clear();
        auto Asked = std::chrono::steady_clock::now();
        Tcp::socket Last = co_await ask(Loop, Port);
        std::string Answer;
        co_await asio::async_read_until(Last, asio::dynamic_buffer(Answer),
                                        "\r\n\r\n", asio::use_awaitable);
        Took = std::chrono::steady_clock::now() - Asked;
        Loop.stop();
      },
      asio::detached);
  Loop.run_for(seconds(10));
  BOOST_REQUIRE(Took.has_value());
  // Two answers' time on the link at most; six would take three seconds.
  BOOST_TEST((*Took < seconds(1)));
}

// Guards against hosts that refuse their only peer: responses to readers of
// other regions filled the queue, and a domain of two hosts had a version 4 s
// late.
BOOST_AUTO_TEST_CASE(waiting_responses_are_counted_by_their_requests) {
  asio::io_context Loop;
  std::uint16_t Port = freePort(Loop);
  auto Server = serveLargeAnswers(Loop, Port);
  BOOST_REQUIRE(Server);
  std::size_t Readers = 0;
  std::size_t Peers = 0;
  asio::co_spawn(
      Loop,
      [&]() -> asio::awaitable<void> {
        std::vector<Tcp::socket> Open;
        // The first response is sent at once.
        for (const char *Path : {"/region", "/region", "/held", "/region"}) {
          Tcp::socket Socket = co_await ask(Loop, Port, Path);
          Open.push_back(std::move(Socket));
        }
        asio::steady_timer Timer(Loop, milliseconds(100));
        co_await Timer.async_wait(asio::use_awaitable);
        auto Count = [&](std::string_view Path) {
          return Server->waitingLargeResponses(
              [Path](std::string_view Target) { return Target == Path; });
        };
        Readers = Count("/region");
        Peers = Count("/held");
        Loop.stop();
      },
      asio::detached);
  Loop.run_for(seconds(10));
  BOOST_TEST(Readers == 2u);
  BOOST_TEST(Peers == 1u);
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_request_end_the_connection) {
  // What the sockets of both ends and the server's buffer can hold.
  constexpr std::size_t MostSentBytes = 16 << 20;
  const std::string Filler(16 << 10, 'a');
  std::string Fields;
  std::string Chunks;
  while (Fields.size() < Filler.size()) {
    Fields += "X-More: more\r\n";
    Chunks += "4\r\nmore\r\n";
  }
  const std::string Chunked =
      "GET / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::pair<std::string, std::string> Endless[] = {
      {"GET /", Filler},
      {"GET / HTTP/1.1\r\nHost: x\r\n", Fields},
      {"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n",
       Filler},
      {Chunked, Chunks},
      {Chunked + "4;", Filler},
      {Chunked + "0\r\n", Fields},
  };
  for (const auto &Bytes : Endless) {
    const std::string &Start = Bytes.first;
    const std::string &More = Bytes.second;
    asio::io_context Loop;
    std::uint16_t Port = freePort(Loop);
    auto Server = PeerServer::listen(
        Loop, "127.0.0.1:" + std::to_string(Port),
        [](const http::Request &) -> asio::awaitable<http::Response> {
          co_return http::Response();
        },
        BytesPerSecond);
    BOOST_REQUIRE(Server);
    bool Closed = false;
    std::size_t SentBytes = 0;
    asio::co_spawn(
        Loop,
        [&]() -> asio::awaitable<void> {
          Tcp::socket Socket(Loop);
          co_await Socket.async_connect(
              Tcp::endpoint(asio::ip::address_v4::loopback(), Port),
              asio::use_awaitable);
          co_await asio::async_write(Socket, asio::buffer(Start),
                                     asio::use_awaitable);
          while (!Closed) {
            boost::system::error_code Failed;
            SentBytes += co_await asio::async_write(
                Socket, asio::buffer(More),
                asio::redirect_error(asio::use_awaitable, Failed));
            Closed = Failed.failed();
          }
          Loop.stop();
        },
        asio::detached);
    Loop.run_for(seconds(2));
    BOOST_TEST_CONTEXT(Start << More.substr(0, 16)) {
      BOOST_TEST(Closed);
      BOOST_TEST(SentBytes < MostSentBytes);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
