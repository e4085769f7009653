#include "OneAnswerServer.h"
#include "http/Client.h"

#include <boost/test/unit_test.hpp>
#include <future>

using namespace rosemarylane;
using namespace rosemarylane::http;
using namespace std::chrono_literals;

namespace {

constexpr auto Patience = 5s;

struct Fixture {
  core::Result<Response, Error> fetch(const OneAnswerServer &Server) {
    auto Done = std::make_shared<std::promise<core::Result<Response, Error>>>();
    auto Outcome = Done->get_future();
    Caller->fetch(Server.address(), {"GET", "/", {}, {}}, {},
                  [Done](auto Ended) { Done->set_value(std::move(Ended)); });
    BOOST_REQUIRE(Outcome.wait_for(Patience) == std::future_status::ready);
    return Outcome.get();
  }

  std::unique_ptr<runtime::Duty> ClientDuty =
      runtime::Duty::start("client", 64, nullptr);
  std::unique_ptr<Client> Caller = Client::create(*ClientDuty);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(unframed_answer, Fixture)

BOOST_AUTO_TEST_CASE(answer_without_length_or_chunks_ends_with_its_connection) {
  for (const char *Version : {"HTTP/1.1", "HTTP/1.0"}) {
    OneAnswerServer Server(std::string(Version) + " 200 OK\r\n\r\nwhole body");
    auto Answer = fetch(Server);
    BOOST_REQUIRE(Answer);
    BOOST_TEST(Answer->Body == "whole body");
  }
}

BOOST_AUTO_TEST_CASE(answer_that_is_reset_is_not_complete) {
  OneAnswerServer Server("HTTP/1.1 200 OK\r\n\r\npart", /*Reset=*/true);
  BOOST_TEST(!fetch(Server));
}

BOOST_AUTO_TEST_CASE(answer_that_ends_before_its_length_is_not_complete) {
  OneAnswerServer Length("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
  BOOST_TEST(!fetch(Length));
  OneAnswerServer Chunks(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
  BOOST_TEST(!fetch(Chunks));
}

BOOST_AUTO_TEST_SUITE_END()
