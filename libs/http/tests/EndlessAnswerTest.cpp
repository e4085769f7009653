#include "EndlessServer.h"
#include "http/Client.h"

#include <boost/test/unit_test.hpp>
#include <future>

using namespace rosemarylane;
using namespace rosemarylane::http;
using namespace std::chrono_literals;

namespace {

constexpr auto Patience = 5s;
/// Far beyond the patience of a test, for limits that must not be what ends a
/// call.
constexpr auto Never = 60s;
/// What a head may hold, and what the sockets on the way may hold besides.
constexpr std::size_t HeadAndSocketBytes = 16 << 20;

const std::string Filler(1000, 'x');
const std::string Field = "A: " + Filler + "\r\n";
const std::string ChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct Fixture {
  /// Calls \p Server.
  /// @return how the call ended; fails if it did not within the patience.
  core::Result<Response, Error> fetch(const EndlessServer &Server,
                                      Deadlines Limits) {
    auto Done = std::make_shared<std::promise<core::Result<Response, Error>>>();
    auto Outcome = Done->get_future();
    Caller->fetch(Server.address(), {"GET", "/", {}, {}}, Limits,
                  [Done](auto Ended) { Done->set_value(std::move(Ended)); });
    BOOST_REQUIRE(Outcome.wait_for(Patience) == std::future_status::ready);
    return Outcome.get();
  }

  void checkEndsAs(Error::Kind Expected, const EndlessServer &Server,
                   Deadlines Limits) {
    auto Answer = fetch(Server, Limits);
    BOOST_REQUIRE(!Answer);
    BOOST_TEST((Answer.error().What == Expected));
  }

  /// Each answer is malformed once its head or framing is over the size limit.
  void checkBounded(const std::vector<EndlessAnswer> &Answers) {
    for (const EndlessAnswer &Answer : Answers) {
      EndlessServer Server(Answer);
      BOOST_TEST_CONTEXT(Answer.Begin + Answer.Repeated.substr(0, 30)) {
        checkEndsAs(Error::Kind::Malformed, Server, patient());
        BOOST_TEST(Server.sent() < HeadAndSocketBytes);
      }
    }
  }

  /// Only the amount of bytes may end a call with these.
  static Deadlines patient() {
    Deadlines Limits;
    Limits.FirstByte = Never;
    Limits.Idle = Never;
    return Limits;
  }

  std::unique_ptr<runtime::Duty> ClientDuty =
      runtime::Duty::start("client", 64, nullptr);
  std::unique_ptr<Client> Caller = Client::create(*ClientDuty);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(endless_answer, Fixture)

BOOST_AUTO_TEST_CASE(head_without_end_is_malformed) {
  checkBounded({{"HTTP/1.1 200 ", Filler},
                {"HTTP/1.1 200 OK\r\n", Field},
                {"HTTP/1.1 200 OK\r\nA: ", Filler}});
}

BOOST_AUTO_TEST_CASE(interim_heads_without_end_are_malformed) {
  checkBounded({{"", "HTTP/1.1 100 Continue\r\n\r\n"},
                {"", "HTTP/1.1 103 Early Hints\r\n" + Field + "\r\n"}});
}

BOOST_AUTO_TEST_CASE(chunk_framing_without_end_is_malformed) {
  checkBounded({{ChunkedHead + "5;a=", Filler},
                {ChunkedHead + "0;a=", Filler},
                {ChunkedHead + "0\r\n", Field},
                {ChunkedHead, "0"}});
}

BOOST_AUTO_TEST_CASE(body_without_end_is_cut_at_the_size_limit) {
  const std::string Large(64 << 10, 'x');
  for (const EndlessAnswer &Answer : std::vector<EndlessAnswer>{
           {ChunkedHead, "10000\r\n" + Large + "\r\n"},
           {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", Large},
           {"HTTP/1.1 200 OK\r\n\r\n", Large}}) {
    EndlessServer Server(Answer);
    BOOST_TEST_CONTEXT(Answer.Begin) {
      checkEndsAs(Error::Kind::Malformed, Server, patient());
      BOOST_TEST(Server.sent() < EndlessServer::MaxBytes);
    }
  }
}

BOOST_AUTO_TEST_CASE(head_that_drips_hits_the_first_byte_deadline) {
  Deadlines Limits;
  Limits.FirstByte = 200ms;
  Limits.Idle = Never;
  for (const EndlessAnswer &Answer : std::vector<EndlessAnswer>{
           {"HTTP/1.1 200 ", "x", 10ms},
           {"HTTP/1.1 200 OK\r\nA: ", "x", 10ms},
           {"", "HTTP/1.1 100 Continue\r\n\r\n", 10ms}}) {
    EndlessServer Server(Answer);
    BOOST_TEST_CONTEXT(Answer.Begin + Answer.Repeated)
    checkEndsAs(Error::Kind::Interrupted, Server, Limits);
  }
}

BOOST_AUTO_TEST_CASE(framing_that_drips_hits_the_idle_deadline) {
  Deadlines Limits;
  Limits.FirstByte = Never;
  Limits.Idle = 200ms;
  for (const EndlessAnswer &Answer : std::vector<EndlessAnswer>{
           {ChunkedHead + "5;a=", "x", 10ms},
           {ChunkedHead + "5\r\nhello\r\n0\r\nA: ", "x", 10ms}}) {
    EndlessServer Server(Answer);
    BOOST_TEST_CONTEXT(Answer.Begin)
    checkEndsAs(Error::Kind::Interrupted, Server, Limits);
  }
}

BOOST_AUTO_TEST_CASE(body_that_drips_hits_the_total_deadline) {
  Deadlines Limits = patient();
  Limits.Total = 200ms;
  for (const EndlessAnswer &Answer : std::vector<EndlessAnswer>{
           {ChunkedHead, "1\r\nx\r\n", 10ms},
           {"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n", "x", 10ms}}) {
    EndlessServer Server(Answer);
    BOOST_TEST_CONTEXT(Answer.Begin)
    checkEndsAs(Error::Kind::Interrupted, Server, Limits);
  }
}

BOOST_AUTO_TEST_CASE(others_are_answered_meanwhile) {
  EndlessServer Endless(
      {ChunkedHead, "1000\r\n" + std::string(4096, 'x') + "\r\n"});
  Client::Hooks Ignoring;
  Ignoring.OnDone = [](const std::optional<Error> &) {};
  auto Call = Caller->stream(Endless.address(), {"GET", "/", {}, {}}, patient(),
                             Ignoring);
  EndlessServer Quick({"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "x"});
  auto Answer = fetch(Quick, {});
  Call->cancel();
  BOOST_REQUIRE(Answer);
  BOOST_TEST(Answer->Body == "ok");
}

BOOST_AUTO_TEST_SUITE_END()
