#include "OneAnswerServer.h"
#include "agent/TargetCall.h"

#include <boost/test/unit_test.hpp>
#include <future>

using namespace rosemarylane;
using namespace std::chrono_literals;

namespace {

constexpr auto Patience = 10s;
const std::string StreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

struct Fixture {
  Fixture() : Context(std::make_unique<ProcessContext>()) {
    Context->Control = runtime::Duty::start("control", 64, nullptr);
    Context->HttpCalling = runtime::Duty::start("calls", 64, nullptr);
    Context->Http = http::Client::create(*Context->HttpCalling);
  }

  /// @return how a call to a target ends that answers with \p Answer.
  TargetCallEnd call(const std::string &Answer) {
    OneAnswerServer Target(Answer);
    Context->Config.Target.Address = Target.address();
    std::promise<TargetCallEnd> Done;
    std::shared_ptr<TargetCall> Call;
    MessageSender Send(*Context, wire::ROLE_AGENT);
    Context->Control->postAlways([&] {
      wire::RunRequest Request;
      Request.set_method("POST");
      Request.set_target("/");
      Call = TargetCall::start(
          *Context, Send, wire::Peer::at("127.0.0.1:1"), Request, "", {},
          [&](TargetCallEnd End) { Done.set_value(std::move(End)); });
    });
    auto Outcome = Done.get_future();
    BOOST_REQUIRE(Outcome.wait_for(Patience) == std::future_status::ready);
    std::promise<void> Dropped;
    Context->Control->postAlways([&] {
      Call.reset();
      Dropped.set_value();
    });
    Dropped.get_future().wait();
    return Outcome.get();
  }

  std::unique_ptr<ProcessContext> Context;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(target_unframed_answer, Fixture)

BOOST_AUTO_TEST_CASE(stream_without_length_or_chunks_ends_with_its_connection) {
  auto End = call(StreamHead + "id: 1\ndata: x\n\n");
  BOOST_TEST((End.Ran == ledger::Ran::Yes));
  BOOST_TEST(!End.TargetInDoubt);
}

BOOST_AUTO_TEST_CASE(stream_that_ends_inside_an_event_has_been_broken_off) {
  auto End = call(StreamHead + "id: 1\ndata: x\n\nid: 2\nda");
  BOOST_TEST((End.Ran != ledger::Ran::Yes));
  BOOST_TEST(End.TargetInDoubt);
  auto Framed = call("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                     "Content-Length: 20\r\n\r\nid: 1\ndata: x\n\nid: 2");
  BOOST_TEST(Framed.TargetInDoubt);
}

BOOST_AUTO_TEST_SUITE_END()
