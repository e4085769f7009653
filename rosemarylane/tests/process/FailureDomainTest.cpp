/// A failure domain that operators have taken out gets no new work 2 s after
/// acceptance, and nothing in progress there is cut.

#include "Load.h"

#include <boost/test/unit_test.hpp>

using namespace rosemarylane;
using namespace rosemarylane::process_tests;
using namespace std::chrono_literals;

namespace {

/// After acceptance, no new work comes later than this.
constexpr auto Bound = 2s;

FleetOptions engines() {
  FleetOptions Options;
  Options.FailureDomains = {"a", "b", "c"};
  Options.Services = 0;
  Options.EnginesPerDomain = 1;
  return Options;
}

std::uint64_t requestsIn(Fleet &F, const std::string &FailureDomain) {
  std::uint64_t Total = 0;
  for (Fleet::Host *Agent : F.engineAgents())
    if (Agent->FailureDomain == FailureDomain)
      Total += F.counter(Agent->Target, "requests");
  return Total;
}

/// Checks that the domain gets no work while the load goes on.
void checkNoNewWork(Fleet &F, const std::string &FailureDomain) {
  auto Before = requestsIn(F, FailureDomain);
  std::this_thread::sleep_for(1500ms);
  auto After = requestsIn(F, FailureDomain);
  BOOST_TEST(After == Before,
             "new work in " << FailureDomain << ": " << After - Before);
}

void checkServed(const LoadReport &Report) {
  BOOST_TEST_MESSAGE(Report);
  BOOST_TEST(Report.Wrong == 0u, Report);
  BOOST_TEST(Report.NotWhole == 0u, Report);
  BOOST_TEST(Report.Refused == 0u, Report);
  BOOST_TEST(Report.Answered > 100u, Report);
}

} // namespace

BOOST_AUTO_TEST_SUITE(failure_domain)

BOOST_AUTO_TEST_CASE(out_and_back_under_load) {
  Fleet F(engines());
  Load Chats(F, 8, chatCalls(F, true));
  std::this_thread::sleep_for(500ms);
  BOOST_TEST(requestsIn(F, "a") > 0u);
  auto Accepted = F.orderDomain(*F.entries()[3], "a", true);
  BOOST_TEST(Accepted.status() < 300u, Accepted.body());
  std::this_thread::sleep_for(Bound);
  checkNoNewWork(F, "a");
  auto Back = F.orderDomain(*F.entries()[3], "a", false);
  BOOST_TEST(Back.status() < 300u, Back.body());
  auto Before = requestsIn(F, "a");
  Fleet::await("the domain serves again", 11s,
               [&] { return requestsIn(F, "a") > Before + 5; });
  checkServed(Chats.stop());
}

BOOST_AUTO_TEST_CASE(out_and_then_the_store_is_down) {
  Fleet F(engines());
  Load Chats(F, 8, chatCalls(F, true));
  std::this_thread::sleep_for(500ms);
  auto Accepted = F.orderDomain(*F.entries()[5], "a", true);
  F.setFaults(F.platform(), R"({"only":"/v3/","outage":true})");
  BOOST_TEST(Accepted.status() < 300u, Accepted.body());
  std::this_thread::sleep_for(Bound);
  checkNoNewWork(F, "a");
  F.setFaults(F.platform(), R"({"outage":false})");
  checkNoNewWork(F, "a");
  checkServed(Chats.stop());
}

BOOST_AUTO_TEST_CASE(entry_frozen_during_the_order_and_woken) {
  Fleet F(engines());
  // Entries of the domain itself: nobody else tells its agents sooner.
  for (Fleet::Host *Frozen : {F.entriesOf("a")[0], F.entriesOf("b")[1]}) {
    Load Chats(F, 8, chatCalls(F, true));
    Chats.avoid(*Frozen);
    std::this_thread::sleep_for(500ms);
    Frozen->Process->freeze();
    auto Accepted = F.orderDomain(*F.entriesOf("c")[0], "a", true);
    BOOST_TEST(Accepted.status() < 300u, Accepted.body());
    std::this_thread::sleep_for(Bound);
    auto Before = requestsIn(F, "a");
    Frozen->Process->resume();
    // At once, before the woken entry can have learnt of the order.
    for (int I = 0; I < 20; ++I) {
      auto Answer = F.caller().call(Frozen->Http, F.chat("woken", true));
      BOOST_TEST(Answer.whole(), Answer.Error);
    }
    BOOST_TEST(requestsIn(F, "a") == Before);
    checkNoNewWork(F, "a");
    Chats.useAgain(*Frozen);
    auto Back = F.orderDomain(*F.entriesOf("c")[0], "a", false);
    BOOST_TEST(Back.status() < 300u, Back.body());
    Fleet::await("the domain serves again", 11s,
                 [&] { return requestsIn(F, "a") > Before + 5; });
    checkServed(Chats.stop());
  }
}

BOOST_AUTO_TEST_CASE(in_progress_is_not_cut) {
  FleetOptions Options = engines();
  Options.EngineArguments = {"--tokens", "16", "--token-interval-us", "200000"};
  Fleet F(Options);
  // One for each engine, which take one at a time so soon after their start.
  auto Before = requestsIn(F, "a");
  std::vector<std::future<CallResult>> Long;
  for (int I = 0; I < 3; ++I)
    Long.push_back(F.caller().start(F.entriesOf("a")[0]->Http,
                                    F.chat("long " + std::to_string(I), true)));
  std::this_thread::sleep_for(500ms);
  BOOST_TEST(requestsIn(F, "a") > Before);
  auto Accepted = F.orderDomain(*F.entries()[3], "a", true);
  BOOST_TEST(Accepted.status() < 300u, Accepted.body());
  for (std::size_t I = 0; I < Long.size(); ++I) {
    auto Answer = Long[I].get();
    BOOST_TEST(Fleet::textOf(Answer, true) ==
                   F.expectedText("long " + std::to_string(I)),
               Answer.status() << Answer.body() << Answer.Error);
  }
}

BOOST_AUTO_TEST_CASE(callers_of_a_domain_that_is_out_wait_at_busy_engines) {
  FleetOptions Options = engines();
  Options.FailureDomains = {"a", "b"};
  // Runs one request at a time, for about 80 ms.
  Options.EngineArguments = {
      "--tokens",     "16",      "--token-interval-us", "5000",
      "--warm-after", "1000000", "--cold-concurrency",  "1"};
  Fleet F(Options);
  auto Accepted = F.orderDomain(*F.entriesOf("b")[0], "a", true);
  BOOST_TEST(Accepted.status() < 300u, Accepted.body());
  std::this_thread::sleep_for(Bound);
  Load Near(F, 2, chatCalls(F, true));
  for (Fleet::Host *Entry : F.entriesOf("a"))
    Near.avoid(*Entry);
  // Each call comes after an entry has heard of the engine's load from afar.
  for (int I = 0; I < 4; ++I) {
    std::this_thread::sleep_for(2500ms);
    auto Answer = F.caller().call(F.entriesOf("a")[0]->Http,
                                  F.chat("far " + std::to_string(I), true));
    BOOST_TEST(Answer.ok(), Answer.Error << Answer.body());
  }
  BOOST_TEST(Near.stop().Wrong == 0u);
}

BOOST_AUTO_TEST_CASE(operators_race) {
  Fleet F(engines());
  for (int Round = 0; Round < 5; ++Round) {
    std::vector<std::future<CallResult>> Orders;
    for (std::size_t I = 0; I < 6; ++I)
      Orders.push_back(std::async(std::launch::async, [&, I] {
        return F.orderDomain(*F.entries()[I], I % 2 ? "a" : "b",
                             Round % 2 == 0);
      }));
    for (auto &Order : Orders) {
      auto Told = Order.get();
      BOOST_TEST((Told.status() < 300u || Told.status() == 412u),
                 Told.status() << Told.body() << Told.Error);
    }
    BOOST_TEST(F.orderDomain(*F.entries()[0], "a", true).status() < 300u);
    std::this_thread::sleep_for(Bound);
    Load Chats(F, 4, chatCalls(F, true));
    checkNoNewWork(F, "a");
    BOOST_TEST(Chats.stop().Wrong == 0u);
  }
}

BOOST_AUTO_TEST_SUITE_END()
