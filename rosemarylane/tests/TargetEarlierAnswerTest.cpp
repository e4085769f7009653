#include "KeptConnectionServer.h"
#include "OneAnswerServer.h"
#include "agent/EngineControl.h"
#include "agent/TargetCall.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>

// Engines' answers do not name their request. A target in trouble writes an
// answer of an earlier request once more, before the one that is due, or stops
// anywhere in an answer.

using namespace rosemarylane;
using namespace std::chrono_literals;

namespace {

constexpr auto Patience = 10s;
constexpr std::uint64_t Generation = 3;

std::string withLength(const std::string &Status, const std::string &Body) {
  return "HTTP/1.1 " + Status +
         "\r\nx-engine-generation: 3\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string stream() {
  return "HTTP/1.1 200 OK\r\nx-engine-generation: 3\r\n"
         "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
         "Trailer: X-More\r\n\r\n"
         "10;more=1\r\ndata: 12345678\n\n\r\n0\r\nX-More: more\r\n\r\n";
}

/// The state of an engine whose model `m` was loaded at generation \p Loaded.
std::string state(std::uint64_t Loaded) {
  std::string Text = std::to_string(Loaded);
  return withLength(
      "200 OK", R"({"generation":)" + Text +
                    R"(,"fence":1,"warm":true,"free_bytes":0,)"
                    R"("running":0,"waiting":0,"loaded":[{"name":"m",)"
                    R"("version":")" +
                    std::string(64, 'a') + R"(","generation":)" + Text + "}]}");
}

struct Fixture {
  Fixture() : Context(std::make_unique<ProcessContext>()) {
    Context->Control = runtime::Duty::start("control", 64, nullptr);
    Context->HttpCalling = runtime::Duty::start("calls", 64, nullptr);
    Context->Http = http::Client::create(*Context->HttpCalling);
  }

  /// @return how a call to the target ends that may be repeated.
  TargetCallEnd call(const std::string &Address,
                     std::optional<std::uint64_t> Of = Generation) {
    Context->Config.Target.Address = Address;
    std::promise<TargetCallEnd> Done;
    std::shared_ptr<TargetCall> Call;
    MessageSender Send(*Context, wire::ROLE_AGENT);
    Context->Control->postAlways([&] {
      wire::RunRequest Request;
      Request.set_method("GET");
      Request.set_target("/");
      Request.set_entry("m");
      Request.set_idempotent(true);
      Call = TargetCall::start(
          *Context, Send, wire::Peer::at("127.0.0.1:1"), Request, "", Of,
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

BOOST_FIXTURE_TEST_SUITE(target_earlier_answer, Fixture)

BOOST_AUTO_TEST_CASE(
    earlier_refusal_does_not_prove_that_a_request_did_not_run) {
  for (const char *Refusal :
       {"503 Service Unavailable", "429 Too Many Requests"}) {
    KeptConnectionServer Engine([&](const std::string &, int OnConnection) {
      std::string Answer = withLength("200 OK", "true answer");
      return OnConnection > 1 ? withLength(Refusal, "full") + Answer : Answer;
    });
    BOOST_TEST((call(Engine.address()).Ran == ledger::Ran::Yes));
    BOOST_TEST((call(Engine.address()).Ran != ledger::Ran::No), Refusal);
  }
}

// Also a success may be that of an earlier request; nothing tells.
BOOST_AUTO_TEST_CASE(request_goes_out_on_a_connection_that_carried_no_other) {
  std::atomic<int> Requests{0};
  std::atomic<int> OnOthersConnection{0};
  KeptConnectionServer Target([&](const std::string &, int OnConnection) {
    ++Requests;
    OnOthersConnection += OnConnection > 1 ? 1 : 0;
    return withLength("200 OK", "answer");
  });
  for (int Call = 0; Call < 5; ++Call)
    BOOST_TEST((call(Target.address(), {}).Ran == ledger::Ran::Yes));
  BOOST_TEST(Requests == 5);
  BOOST_TEST(OnOthersConnection == 0);
}

// Guards the refusals that are true.
BOOST_AUTO_TEST_CASE(refusal_on_a_new_connection_is_believed) {
  KeptConnectionServer Engine([](const std::string &, int) {
    return withLength("503 Service Unavailable", "full");
  });
  TargetCallEnd End = call(Engine.address());
  BOOST_TEST((End.Ran == ledger::Ran::No));
  BOOST_TEST((End.Reason == wire::REFUSAL_BUSY));
}

BOOST_AUTO_TEST_CASE(earlier_state_does_not_confirm_a_generation) {
  std::atomic<bool> Loaded{false};
  KeptConnectionServer Engine(
      [&](const std::string &Head, int OnConnection) -> std::string {
        if (Head.find("/control/v1/state") == std::string::npos) {
          // Other weights are loaded while the answer comes.
          Loaded = true;
          return stream();
        }
        if (!Loaded)
          return state(Generation);
        return OnConnection > 1 ? state(Generation) + state(Generation + 1)
                                : state(Generation + 1);
      });
  Context->Config.Target.Address = Engine.address();
  auto Control = EngineControl::create(*Context);
  std::promise<bool> Read;
  Control->readState([&](auto State) { Read.set_value(bool(State)); });
  BOOST_REQUIRE(Read.get_future().get());
  Control.reset();
  TargetCallEnd End = call(Engine.address());
  BOOST_TEST((End.Reason == wire::REFUSAL_VERSION), End.Detail);
  BOOST_TEST(End.TargetInDoubt);
}

BOOST_AUTO_TEST_CASE(earlier_state_is_no_answer_to_a_load_order) {
  KeptConnectionServer Engine(
      [](const std::string &Head, int OnConnection) -> std::string {
        if (Head.starts_with("GET"))
          return state(Generation);
        std::string Refusal = withLength("409 Conflict", "fenced");
        return OnConnection > 1 ? state(Generation) + Refusal : Refusal;
      });
  Context->Config.Target.Address = Engine.address();
  auto Control = EngineControl::create(*Context);
  std::promise<bool> Read;
  Control->readState([&](auto State) { Read.set_value(bool(State)); });
  BOOST_REQUIRE(Read.get_future().get());
  std::promise<bool> Ordered;
  Control->unload(core::EntryName("m"), 1,
                  [&](auto State) { Ordered.set_value(bool(State)); });
  BOOST_TEST(!Ordered.get_future().get());
  Control.reset();
}

// Guards against an answer that ends early and looks complete, or like a
// refusal.
BOOST_AUTO_TEST_CASE(answer_that_breaks_off_anywhere_is_not_whole) {
  std::string Body(1234, 'b');
  for (const std::string &Whole :
       {withLength("200 OK", Body), stream(),
        withLength("503 Service Unavailable", "full")}) {
    bool IsRefusal = Whole.find(" 503 ") != std::string::npos;
    {
      OneAnswerServer Target(Whole);
      BOOST_TEST((call(Target.address()).Ran != ledger::Ran::Unknown));
    }
    std::size_t HeadSize = Whole.find("\r\n\r\n") + 4;
    std::size_t Last =
        IsRefusal ? HeadSize : std::min<std::size_t>(Whole.size(), 300);
    for (std::size_t Position = 0; Position < Last; ++Position) {
      OneAnswerServer Target(Whole.substr(0, Position));
      TargetCallEnd End = call(Target.address(), Generation);
      BOOST_TEST_CONTEXT("broken off after byte " << Position) {
        BOOST_TEST((End.Ran == ledger::Ran::Unknown));
        BOOST_TEST(End.TargetInDoubt);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
