#include "KeptConnectionServer.h"
#include "http/Client.h"
#include "http/Server.h"

#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <mutex>

using namespace rosemarylane;
using namespace rosemarylane::http;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr auto Patience = 5s;

/// A server and a client, each on its own duty.
struct Fixture {
  void serve(Server::Handler OnRequest, ServerSettings Settings = {}) {
    Settings.Address = "127.0.0.1:0";
    auto Listening = Server::listen(*ServerDuty, Settings, OnRequest);
    BOOST_REQUIRE(Listening);
    Http = std::move(*Listening);
    Address = "127.0.0.1:" + std::to_string(Http->port());
  }

  core::Result<Response, Error> fetch(Request Whole, Deadlines Limits = {},
                                      bool Retryable = false) {
    std::promise<core::Result<Response, Error>> Done;
    Caller->fetch(
        Address, std::move(Whole), Limits,
        [&](auto Outcome) { Done.set_value(std::move(Outcome)); }, Retryable);
    auto Outcome = Done.get_future();
    BOOST_REQUIRE(Outcome.wait_for(Patience) == std::future_status::ready);
    return Outcome.get();
  }

  std::unique_ptr<runtime::Duty> ServerDuty =
      runtime::Duty::start("server", 64, nullptr);
  std::unique_ptr<runtime::Duty> ClientDuty =
      runtime::Duty::start("client", 64, nullptr);
  std::unique_ptr<Client> Caller = Client::create(*ClientDuty);
  std::unique_ptr<Server> Http;
  std::string Address;
};

/// Sends raw bytes and reads until the server closes.
std::string sendRaw(std::uint16_t Port, const std::string &Bytes) {
  boost::asio::io_context Context;
  tcp::socket Socket(Context);
  Socket.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
  boost::system::error_code Ignored;
  boost::asio::write(Socket, boost::asio::buffer(Bytes), Ignored);
  std::string Answer;
  boost::asio::read(Socket, boost::asio::dynamic_buffer(Answer), Ignored);
  return Answer;
}

/// A server that gives each connection one fixed run of bytes as the answer to
/// whatever comes first, then closes; it answers nothing when there are none.
class RawServer {
public:
  explicit RawServer(std::vector<std::string> Answers)
      : Answers(std::move(Answers)),
        Acceptor(Context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        Thread([this] { run(); }) {}
  ~RawServer() { Thread.join(); }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

private:
  void run() {
    for (const std::string &Answer : Answers) {
      auto Socket = Acceptor.accept();
      std::array<char, 4096> Buffer{};
      boost::system::error_code Ignored;
      Socket.read_some(boost::asio::buffer(Buffer), Ignored);
      boost::asio::write(Socket, boost::asio::buffer(Answer), Ignored);
      if (Answer.empty())
        Socket.read_some(boost::asio::buffer(Buffer), Ignored);
    }
  }

  std::vector<std::string> Answers;
  boost::asio::io_context Context;
  tcp::acceptor Acceptor;
  std::thread Thread;
};

template <typename Predicate> bool waitFor(Predicate Holds) {
  auto Deadline = std::chrono::steady_clock::now() + Patience;
  while (std::chrono::steady_clock::now() < Deadline) {
    if (Holds())
      return true;
    std::this_thread::sleep_for(1ms);
  }
  return false;
}

void echo(const std::shared_ptr<Exchange> &X) {
  X->respond({{200, {{"X-Method", X->request().Method}}},
              X->request().Target + "|" + X->request().Body});
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(exchange, Fixture)

BOOST_AUTO_TEST_CASE(request_and_answer_come_whole) {
  serve(echo);
  std::string Body(300'000, 'x');
  for (int I = 0; I < 3; ++I) {
    auto Answer = fetch({"POST", "/a?b=c", {}, Body});
    BOOST_REQUIRE(Answer);
    BOOST_TEST(Answer->Head.Status == 200u);
    BOOST_TEST((Answer->Head.Fields.find("x-method") == "POST"));
    BOOST_TEST((Answer->Body == "/a?b=c|" + Body));
  }
}

// Guards against a part of an answer that is taken as whole: the write of the
// request takes the reset, and the read sees a plain end (MIXED).
BOOST_AUTO_TEST_CASE(answer_reset_during_the_upload_is_not_whole) {
  constexpr std::size_t Calls = 10;
  // It closes with most of the body unread, which resets the connection.
  RawServer Raw(std::vector<std::string>(Calls, "HTTP/1.1 200 OK\r\n\r\npart"));
  for (std::size_t I = 0; I < Calls; ++I) {
    Address = Raw.address();
    auto Answer = fetch({"POST", "/", {}, std::string(3 << 20, 'u')});
    BOOST_TEST(!Answer);
  }
}

BOOST_AUTO_TEST_CASE(chunked_stream_comes_whole_and_in_order) {
  serve([](auto X) {
    X->startStream({200, {{"Content-Type", "text/event-stream"}}});
    for (int I = 0; I < 1000; ++I)
      X->write(std::to_string(I) + "\n");
    X->finish();
  });
  std::string Expected;
  for (int I = 0; I < 1000; ++I)
    Expected += std::to_string(I) + "\n";
  for (int I = 0; I < 2; ++I) {
    auto Answer = fetch({"GET", "/", {}, {}});
    BOOST_REQUIRE(Answer);
    BOOST_TEST((Answer->Body == Expected));
  }
}

BOOST_AUTO_TEST_CASE(aborted_or_dropped_stream_is_interrupted) {
  serve([](auto X) {
    X->startStream({200, {}});
    X->write("part");
    if (X->request().Target == "/abort")
      X->abort();
  });
  for (const char *Target : {"/abort", "/drop"}) {
    auto Answer = fetch({"GET", Target, {}, {}}, {}, true);
    BOOST_REQUIRE(!Answer);
    BOOST_TEST((Answer.error().What == Error::Kind::Interrupted));
  }
}

BOOST_AUTO_TEST_CASE(truncated_answers_are_interrupted) {
  RawServer Raw({"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc"
                 "\r\n",
                 "HTTP/1.1 2"});
  Address = Raw.address();
  for (int I = 0; I < 3; ++I) {
    auto Answer = fetch({"GET", "/", {}, {}}, {}, true);
    BOOST_REQUIRE(!Answer);
    BOOST_TEST((Answer.error().What == Error::Kind::Interrupted));
  }
}

BOOST_AUTO_TEST_CASE(garbage_answer_is_malformed) {
  RawServer Raw({"SMTP ready\r\n\r\n"});
  Address = Raw.address();
  auto Answer = fetch({"GET", "/", {}, {}});
  BOOST_REQUIRE(!Answer);
  BOOST_TEST((Answer.error().What == Error::Kind::Malformed));
}

BOOST_AUTO_TEST_CASE(refused_connection_is_not_sent) {
  serve(echo);
  Http.reset();
  auto Answer = fetch({"POST", "/", {}, "x"});
  BOOST_REQUIRE(!Answer);
  BOOST_TEST((Answer.error().What == Error::Kind::NotSent));
}

BOOST_AUTO_TEST_CASE(only_repeatable_requests_survive_a_stale_connection) {
  const std::string Ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  for (bool Retryable : {true, false}) {
    // The first connection is kept, takes a second request and closes without
    // an answer to it.
    boost::asio::io_context Context;
    tcp::acceptor Acceptor(Context,
                           {boost::asio::ip::make_address("127.0.0.1"), 0});
    Address = "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
    std::atomic<int> Arrived{0};
    std::thread Thread([&] {
      std::array<char, 4096> Buffer{};
      auto First = Acceptor.accept();
      Arrived += First.read_some(boost::asio::buffer(Buffer)) > 0;
      boost::asio::write(First, boost::asio::buffer(Ok));
      Arrived += First.read_some(boost::asio::buffer(Buffer)) > 0;
      First.close();
      if (!Retryable)
        return;
      auto Second = Acceptor.accept();
      Arrived += Second.read_some(boost::asio::buffer(Buffer)) > 0;
      boost::asio::write(Second, boost::asio::buffer(Ok));
    });
    BOOST_TEST(fetch({"POST", "/", {}, "1"}).has_value());
    auto Answer = fetch({"POST", "/", {}, "2"}, {}, Retryable);
    Thread.join();
    BOOST_TEST(Answer.has_value() == Retryable);
    BOOST_TEST(Arrived == (Retryable ? 3 : 2));
    if (!Answer)
      BOOST_TEST((Answer.error().What == Error::Kind::Interrupted));
  }
}

BOOST_AUTO_TEST_CASE(silent_server_hits_the_deadline) {
  RawServer Raw({""});
  Address = Raw.address();
  Deadlines Limits;
  Limits.FirstByte = 50ms;
  auto Answer = fetch({"GET", "/", {}, {}}, Limits, true);
  BOOST_REQUIRE(!Answer);
  BOOST_TEST((Answer.error().What == Error::Kind::Interrupted));
}

BOOST_AUTO_TEST_CASE(stream_that_falls_silent_hits_the_idle_deadline) {
  std::shared_ptr<Exchange> Held;
  serve([&](auto X) {
    Held = X;
    X->startStream({200, {}});
    X->write("part");
  });
  Deadlines Limits;
  Limits.Idle = 50ms;
  auto Answer = fetch({"GET", "/", {}, {}}, Limits, true);
  BOOST_REQUIRE(!Answer);
  BOOST_TEST((Answer.error().What == Error::Kind::Interrupted));
  Http.reset();
}

BOOST_AUTO_TEST_CASE(cancel_tells_both_ends) {
  std::shared_ptr<Exchange> Held;
  std::promise<void> Arrived;
  std::promise<void> Gone;
  serve([&](auto X) {
    Held = X;
    X->onGone([&] { Gone.set_value(); });
    Arrived.set_value();
  });
  std::promise<core::Result<Response, Error>> Done;
  auto Call = Caller->fetch(Address, {"GET", "/", {}, {}}, {},
                            [&](auto R) { Done.set_value(std::move(R)); });
  Arrived.get_future().wait();
  Call->cancel();
  auto Answer = Done.get_future().get();
  BOOST_REQUIRE(!Answer);
  BOOST_TEST((Answer.error().What == Error::Kind::Cancelled));
  BOOST_TEST(
      (Gone.get_future().wait_for(Patience) == std::future_status::ready));
  BOOST_TEST(waitFor([&] { return Http->inProgress() == 0; }));
  Http.reset();
}

BOOST_AUTO_TEST_CASE(bad_requests_are_refused_as_not_run) {
  ServerSettings Settings;
  Settings.MaxBodyBytes = 1000;
  Settings.MaxHeaderBytes = 1000;
  Settings.ReadTimeout = 100ms;
  std::atomic<int> Handled{0};
  serve(
      [&](auto X) {
        ++Handled;
        echo(X);
      },
      Settings);
  struct Bad {
    std::string Bytes;
    std::string Status;
  };
  std::string Large(200'000, 'x');
  for (const Bad &Case : std::vector<Bad>{
           {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" +
                Large,
            "413"},
           {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
            "chunked\r\n\r\n1388\r\n" +
                Large,
            "413"},
           {"GET / HTTP/1.1\r\nHost: h\r\nA: " + Large, "431"},
           {"\x16\x03\x01 garbage\r\n\r\n", "400"},
           {"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: -5\r\n\r\n", "400"},
           {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc",
            "408"}}) {
    std::string Answer = sendRaw(Http->port(), Case.Bytes);
    BOOST_TEST(Answer.substr(0, 12) == "HTTP/1.1 " + Case.Status);
    BOOST_TEST((Answer.find("application/problem+json") != std::string::npos));
    BOOST_TEST((Answer.find("\"ran\":\"no\"") != std::string::npos));
  }
  BOOST_TEST(Handled == 0);
}

BOOST_AUTO_TEST_CASE(requests_sent_ahead_are_answered_in_order) {
  serve(echo);
  std::string Answer = sendRaw(
      Http->port(),
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
      "GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  auto First = Answer.find("/1|");
  auto Second = Answer.find("/2|");
  auto Third = Answer.find("/3|");
  BOOST_TEST((First < Second && Second < Third && Third != std::string::npos));
}

BOOST_AUTO_TEST_CASE(slow_reader_is_cut_off_at_the_backlog_limit) {
  ServerSettings Settings;
  Settings.MaxBacklogBytes = 1 << 20;
  std::promise<void> Gone;
  std::shared_ptr<Exchange> Held;
  serve(
      [&](auto X) {
        Held = X;
        X->onGone([&] { Gone.set_value(); });
        X->startStream({200, {}});
      },
      Settings);
  boost::asio::io_context Context;
  tcp::socket Socket(Context);
  Socket.connect({boost::asio::ip::make_address("127.0.0.1"), Http->port()});
  boost::asio::write(Socket, boost::asio::buffer(std::string_view(
                                 "GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
  BOOST_REQUIRE(waitFor([&] { return Http->inProgress() == 1; }));
  auto Ended = Gone.get_future();
  BOOST_TEST(waitFor([&] {
    Held->write(std::string(100'000, 'x'));
    return Ended.wait_for(0s) == std::future_status::ready;
  }));
  Http.reset();
}

BOOST_AUTO_TEST_CASE(drain_ends_what_is_in_progress_whole) {
  std::shared_ptr<Exchange> Held;
  std::promise<void> Arrived;
  ServerSettings Settings;
  Settings.DrainGrace = 1s;
  serve(
      [&](auto X) {
        if (X->request().Target != "/hold")
          return echo(X);
        Held = X;
        X->startStream({200, {}});
        Arrived.set_value();
      },
      Settings);
  BOOST_TEST(fetch({"GET", "/", {}, {}}).has_value());
  std::promise<core::Result<Response, Error>> Done;
  Caller->fetch(Address, {"GET", "/hold", {}, {}}, {},
                [&](auto R) { Done.set_value(std::move(R)); });
  Arrived.get_future().wait();
  Http->drain();
  BOOST_TEST(Http->inProgress() > 0u);
  Held->write("whole");
  Held->finish();
  auto Answer = Done.get_future().get();
  BOOST_REQUIRE(Answer);
  BOOST_TEST(Answer->Body == "whole");
  // The head was sent before the drain, so the caller may send once more.
  auto Next = fetch({"GET", "/next", {}, {}});
  BOOST_REQUIRE(Next);
  BOOST_TEST((Next->Head.Fields.find("Connection") == "close"));
  BOOST_TEST(waitFor([&] { return Http->inProgress() == 0; }));
  Deadlines OnItsOwn;
  OnItsOwn.FreshConnection = true;
  auto Late = fetch({"GET", "/", {}, {}}, OnItsOwn);
  BOOST_REQUIRE(!Late);
  BOOST_TEST((Late.error().What == Error::Kind::NotSent));
}

BOOST_AUTO_TEST_CASE(connection_of_one_exchange_alone_is_not_kept) {
  KeptConnectionServer Server([](const std::string &, int OnConnection) {
    std::string Body = std::to_string(OnConnection);
    return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + Body;
  });
  Address = Server.address();
  Deadlines OnItsOwn;
  OnItsOwn.FreshConnection = true;
  BOOST_TEST(fetch({"GET", "/", {}, {}}, OnItsOwn)->Body == "1");
  BOOST_TEST(fetch({"GET", "/", {}, {}})->Body == "1");
  BOOST_TEST(fetch({"GET", "/", {}, {}})->Body == "2");
  BOOST_TEST(waitFor([&] { return Server.open() == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()
