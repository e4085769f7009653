/// A refusal that says that a request was not run is true.

#include "Load.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>

using namespace rosemarylane;
using namespace rosemarylane::process_tests;
using namespace std::chrono_literals;

namespace {

/// Calls with a key of their own, one try each, and what they were told.
class Tellings {
public:
  Load::Send sender(Fleet &F, std::string Prefix) {
    return [this, &F, Prefix = std::move(Prefix)](
               std::uint64_t Number, Fleet::Host &Entry, Load &To) {
      std::string Key = Prefix + "-" + std::to_string(Number);
      auto Result = F.caller().call(Entry.Http, F.order(Key, "tankard"), 30s);
      {
        std::lock_guard Lock(Mutex);
        Told[Key] = Result;
      }
      To.count(Result, "", "");
    };
  }

  /// Compares what callers were told with what ran.
  void check(Fleet &F) {
    auto Runs = F.allRuns();
    for (const auto &[Key, Result] : Told) {
      auto Ran = Runs[Key];
      BOOST_TEST(Ran <= 1u, Key << " ran " << Ran << " times");
      if (Result.ran() == "no")
        BOOST_TEST(Ran == 0u, Key << " ran, and was told: " << Result.body());
      if (Result.ran() == "yes")
        BOOST_TEST(Ran == 1u, Key << " did not run: " << Result.body());
      ++Counts[Result.whole() ? Result.ran() : "no answer"];
    }
    for (const auto &[What, Count] : Counts)
      BOOST_TEST_MESSAGE("told " << What << ": " << Count);
  }

  std::map<std::string, std::uint64_t> Counts;

private:
  std::mutex Mutex;
  std::map<std::string, CallResult> Told;
};

/// The seed of the random faults; `PROCESS_SEED` in the environment sets it.
unsigned seed() {
  const char *Given = std::getenv("PROCESS_SEED");
  return Given ? static_cast<unsigned>(std::stoul(Given)) : 20261204;
}

} // namespace

BOOST_AUTO_TEST_SUITE(refusal)

BOOST_AUTO_TEST_CASE(bad_requests_never_run) {
  Fleet F({});
  const std::string &Entry = F.entries()[0]->Http;
  std::vector<http::Request> Bad;
  Bad.push_back(F.order("bad-1", "x"));
  Bad.back().Fields.set("Authorization", "Bearer nobody");
  Bad.push_back(F.order("bad-2", "x"));
  Bad.back().Target = "/v1/services/unknown/place";
  Bad.push_back(F.order("bad-3", std::string(6 << 20, 'x')));
  Bad.push_back({"POST", "/v1/chat/completions", {}, "{broken"});
  Bad.push_back({"GET", "/nowhere", {}, {}});
  for (const http::Request &Request : Bad) {
    auto Refused = F.caller().call(Entry, Request);
    BOOST_TEST(Refused.status() >= 400u);
    BOOST_TEST(Refused.ran() == "no", Refused.body());
  }
  for (const auto &[Key, Count] : F.allRuns())
    BOOST_TEST(Key.starts_with("ready-"), Key);
}

BOOST_AUTO_TEST_CASE(overload) {
  FleetOptions Options;
  Options.ServiceArguments = {"--latency-ms", "300"};
  Fleet F(Options);
  Tellings Told;
  Load Orders(F, 160, Told.sender(F, "over"));
  std::this_thread::sleep_for(2500ms);
  BOOST_TEST_MESSAGE(Orders.stop());
  Told.check(F);
  BOOST_TEST(Told.Counts["no"] > 0u, "the load was not above the limit");
  BOOST_TEST(Told.Counts["yes"] > 0u);
  BOOST_TEST(Told.Counts["unknown"] == 0u);
  BOOST_TEST(Told.Counts["no answer"] == 0u);
}

BOOST_AUTO_TEST_CASE(engine_that_names_a_time_gets_nothing_until_it_is_over) {
  // The users' pages: from half a second after the refusal on.
  constexpr std::uint64_t MostInPause = 2;
  FleetOptions Options;
  Options.Services = 0;
  Options.EnginesPerDomain = 1;
  Fleet F(Options);
  Load Chats(F, 8, chatCalls(F, false));
  std::this_thread::sleep_for(1s);
  const std::string &Engine = F.engineAgents()[0]->Target;
  F.setFaults(Engine, R"({"pause_ms":3000})");
  std::this_thread::sleep_for(3s);
  BOOST_TEST(F.counter(Engine, "requests_in_pause") <= MostInPause);
  std::uint64_t Before = F.counter(Engine, "requests");
  Fleet::await("the engine is used again", 5s,
               [&] { return F.counter(Engine, "requests") > Before + 10; });
  LoadReport Report = Chats.stop();
  BOOST_TEST_MESSAGE(Report);
  BOOST_TEST(Report.Answered > 0u, Report);
  // The other engines take its requests.
  BOOST_TEST(Report.Refused == 0u, Report);
  BOOST_TEST(Report.Wrong + Report.NotWhole == 0u, Report);
}

BOOST_AUTO_TEST_CASE(agent_killed_under_load) {
  FleetOptions Options;
  Options.ServiceArguments = {"--latency-ms", "20"};
  Options.Services = 2;
  Fleet F(Options);
  Tellings Told;
  Load Orders(F, 16, Told.sender(F, "killed"));
  for (int Round = 0; Round < 3; ++Round) {
    std::this_thread::sleep_for(400ms);
    F.serviceAgents()[0]->Process->kill();
    std::this_thread::sleep_for(400ms);
    F.startHost(*F.serviceAgents()[0]);
  }
  std::this_thread::sleep_for(1s);
  BOOST_TEST_MESSAGE(Orders.stop());
  Told.check(F);
  BOOST_TEST(Told.Counts["yes"] > 0u);
}

BOOST_AUTO_TEST_CASE(random_faults_in_pairs) {
  FleetOptions Options;
  Options.ServiceArguments = {"--latency-ms", "20"};
  Options.Services = 2;
  Options.StoreRelay = true;
  Fleet F(Options);
  std::mt19937 Random(seed());
  BOOST_TEST_MESSAGE("seed " << seed());
  const std::string Service = F.serviceAgents()[0]->Target;
  struct Fault {
    const char *Name;
    std::function<void()> Begin;
    std::function<void()> End;
  };
  auto Host = [&](bool Entry) -> Fleet::Host & {
    return Entry ? *F.entries()[1] : *F.serviceAgents()[1];
  };
  auto Nothing = [] {};
  std::vector<Fault> Faults{
      {"entry killed", [&] { Host(true).Process->kill(); },
       [&] { F.startHost(Host(true)); }},
      {"agent killed", [&] { Host(false).Process->kill(); },
       [&] { F.startHost(Host(false)); }},
      {"entry frozen", [&] { F.entries()[2]->Process->freeze(); },
       [&] { F.entries()[2]->Process->resume(); }},
      {"agent frozen", [&] { F.serviceAgents()[0]->Process->freeze(); },
       [&] { F.serviceAgents()[0]->Process->resume(); }},
      {"store down",
       [&] { F.setFaults(F.platform(), R"({"only":"/v3/","outage":true})"); },
       [&] { F.setFaults(F.platform(), R"({"outage":false})"); }},
      {"store answers lost",
       [&] {
         F.setFaults(F.platform(),
                     R"({"only":"/v3/kv/txn","lose_answers":true})");
       },
       [&] { F.setFaults(F.platform(), R"({"lose_answers":0})"); }},
      {"store connections silent",
       [&] {
         F.setFaults(F.storeRelayControl(), R"({"silent_existing":true})");
       },
       Nothing},
      {"store slow",
       [&] {
         F.setFaults(F.platform(), R"({"only":"/v3/","latency_ms":300})");
       },
       [&] { F.setFaults(F.platform(), R"({"latency_ms":0})"); }},
      {"service loses answers",
       [&] { F.setFaults(Service, R"({"only":"/place","lose_answers":5})"); },
       [&] { F.setFaults(Service, R"({"lose_answers":0})"); }},
      {"service drops calls",
       [&] { F.setFaults(Service, R"({"only":"/place","drop_before":5})"); },
       [&] { F.setFaults(Service, R"({"drop_before":0})"); }},
  };
  Tellings Told;
  Load Orders(F, 12, Told.sender(F, "random"));
  for (int Round = 0; Round < 12; ++Round) {
    std::shuffle(Faults.begin(), Faults.end(), Random);
    BOOST_TEST_MESSAGE(Faults[0].Name << " and " << Faults[1].Name);
    Faults[0].Begin();
    std::this_thread::sleep_for(std::chrono::milliseconds(Random() % 300));
    Faults[1].Begin();
    std::this_thread::sleep_for(
        std::chrono::milliseconds(200 + Random() % 800));
    Faults[0].End();
    Faults[1].End();
    std::this_thread::sleep_for(300ms);
  }
  BOOST_TEST_MESSAGE(Orders.stop());
  Told.check(F);
  BOOST_TEST(Told.Counts["yes"] > 0u);
}

BOOST_AUTO_TEST_SUITE_END()
