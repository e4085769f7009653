/// Silent connections are found and replaced, and what can go on goes on while
/// the store is down.

#include "Load.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <mutex>

using namespace rosemarylane;
using namespace rosemarylane::process_tests;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(outage)

BOOST_AUTO_TEST_CASE(repeatable_work_goes_on_while_the_store_is_down) {
  FleetOptions Options;
  Options.EnginesPerDomain = 1;
  Fleet F(Options);
  F.setFaults(F.platform(), R"({"outage":true})");
  Load Chats(F, 6, chatCalls(F, true));
  std::this_thread::sleep_for(20s);
  LoadReport Report = Chats.stop();
  BOOST_TEST_MESSAGE(Report);
  BOOST_TEST(Report.Answered > 500u, Report);
  BOOST_TEST(Report.Wrong == 0u, Report);
  BOOST_TEST(Report.NotWhole == 0u, Report);
  BOOST_TEST(Report.Refused == 0u, Report);
  auto Refused = F.caller().call(F.entries()[0]->Http, F.order("o", "x"));
  BOOST_TEST(Refused.ran() == "no");
  F.setFaults(F.platform(), R"({"outage":false})");
  Fleet::await("orders run again", 5s, [&] {
    return F.caller().call(F.entries()[0]->Http, F.order("o", "x")).ok();
  });
  BOOST_TEST(F.runs("o") == 1u);
}

BOOST_AUTO_TEST_CASE(silent_store_connections) {
  FleetOptions Options;
  Options.StoreRelay = true;
  Fleet F(Options);
  for (int Round = 0; Round < 3; ++Round) {
    F.setFaults(F.storeRelayControl(), R"({"silent_existing":true})");
    for (Fleet::Host *Entry : F.entries()) {
      std::string Key = "silent-" + std::to_string(Round) + Entry->Name;
      Fleet::await("an order through " + Entry->Name, 4s, [&] {
        return F.caller().call(Entry->Http, F.order(Key, "x")).ok();
      });
      BOOST_TEST(F.runs(Key) == 1u);
    }
  }
}

BOOST_AUTO_TEST_CASE(silent_engine_connections) {
  FleetOptions Options;
  Options.Services = 0;
  Options.EnginesPerDomain = 1;
  Fleet F(Options);
  for (bool Stream : {true, false}) {
    std::mutex Mutex;
    std::chrono::steady_clock::duration Longest{0};
    auto Timed = [&](std::uint64_t Number, Fleet::Host &Entry, Load &To) {
      auto Began = std::chrono::steady_clock::now();
      chatCalls(F, Stream)(Number, Entry, To);
      std::lock_guard Lock(Mutex);
      Longest = std::max(Longest, std::chrono::steady_clock::now() - Began);
    };
    Load Chats(F, 8, Timed);
    std::this_thread::sleep_for(500ms);
    for (Fleet::Host *Agent : F.engineAgents())
      F.setFaults(Agent->Target, R"({"silent_existing":true})");
    std::this_thread::sleep_for(4s);
    LoadReport Report = Chats.stop();
    BOOST_TEST_MESSAGE(Report);
    BOOST_TEST(Report.Wrong == 0u, Report);
    BOOST_TEST(Report.Answered > 100u, Report);
    auto Milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(Longest).count();
    // Found and replaced within 2 s, and the call answered anew or ended.
    BOOST_TEST(Milliseconds < 3000, "longest call: " << Milliseconds << " ms");
  }
}

BOOST_AUTO_TEST_CASE(slow_answers_are_not_taken_for_silent) {
  FleetOptions Options;
  Options.EnginesPerDomain = 1;
  Options.EngineArguments = {"--first-token-us", "2500000"};
  Options.ServiceArguments = {"--latency-ms", "2500"};
  Fleet F(Options);
  const std::string &Entry = F.entries()[0]->Http;
  auto Order = F.caller().start(Entry, F.order("slow", "tankard"));
  for (bool Stream : {true, false}) {
    auto Chat = F.caller().call(Entry, F.chat("slow", Stream));
    BOOST_TEST(Fleet::textOf(Chat, Stream) == F.expectedText("slow"),
               Chat.status() << Chat.body() << Chat.Error);
  }
  auto Told = Order.get();
  BOOST_TEST(Told.ok(), Told.status() << Told.body() << Told.Error);
}

BOOST_AUTO_TEST_SUITE_END()
