/// No request is answered from partial or mixed weights, and a target gets no
/// more work than it can bear.

#include "Load.h"

#include <boost/test/unit_test.hpp>

using namespace rosemarylane;
using namespace rosemarylane::process_tests;
using namespace std::chrono_literals;

namespace {

FleetOptions engines() {
  FleetOptions Options;
  Options.Services = 0;
  Options.EnginesPerDomain = 2;
  return Options;
}

/// Streams whose answer must be whole from one of the versions.
Load::Send chatsOf(Fleet &F, std::vector<std::string> Versions) {
  return [&F, Versions = std::move(Versions)](std::uint64_t Number,
                                              Fleet::Host &Entry, Load &To) {
    std::string Prompt = "prompt " + std::to_string(Number);
    auto Result = F.caller().call(Entry.Http, F.chat(Prompt, true), 15s);
    std::string Text = Fleet::textOf(Result, true);
    std::string Expected = Fleet::expectedText(Prompt, Versions.front());
    for (const std::string &Version : Versions)
      if (Fleet::expectedText(Prompt, Version) == Text)
        Expected = Text;
    To.count(Result, Text, Expected);
  };
}

bool allServe(Fleet &F, const std::string &Version) {
  for (Fleet::Host *Agent : F.engineAgents()) {
    auto State = F.caller().get(Agent->Target, "/control/v1/state");
    if (State.body().find(Version) == std::string::npos)
      return false;
  }
  return true;
}

/// Rolls a second version out under load while \p Fault is done to the fleet.
void rollOut(Fleet &F, const std::function<void(const std::string &)> &Fault) {
  std::string Next = F.makeVersion(2);
  Load Chats(F, 8, chatsOf(F, {F.version(), Next}));
  std::this_thread::sleep_for(400ms);
  auto Applied = F.applyVersion(*F.entries()[0], Next);
  BOOST_TEST(Applied.status() < 300u, Applied.body());
  Fault(Next);
  Fleet::await("all engines hold the new version", 40s,
               [&] { return allServe(F, Next); });
  std::this_thread::sleep_for(500ms);
  LoadReport Report = Chats.stop();
  BOOST_TEST_MESSAGE(Report);
  BOOST_TEST(Report.Wrong == 0u, Report);
  BOOST_TEST(Report.Answered > 50u, Report);
}

} // namespace

BOOST_AUTO_TEST_SUITE(weights)

BOOST_AUTO_TEST_CASE(new_version_under_load) {
  Fleet F(engines());
  rollOut(F, [](const std::string &) {});
}

BOOST_AUTO_TEST_CASE(chunks_corrupted_on_the_way) {
  Fleet F(engines());
  F.setFaults(F.platform(), R"({"corrupt_chunks":6})");
  for (Fleet::Host *Agent : F.engineAgents())
    F.setFaults(Agent->Target, R"({"corrupt_chunks":4})");
  rollOut(F, [](const std::string &) {});
}

BOOST_AUTO_TEST_CASE(manifest_changes_under_its_name) {
  Fleet F(engines());
  rollOut(F, [&](const std::string &Next) {
    F.setFaults(F.platform(), R"({"swap_version":")" + Next + "\"}");
    std::this_thread::sleep_for(1s);
    F.setFaults(F.platform(), R"({"swap_version":""})");
  });
}

BOOST_AUTO_TEST_CASE(agents_die_while_they_fetch) {
  FleetOptions Options = engines();
  Options.ModelBytes = 8 << 20;
  Fleet F(Options);
  rollOut(F, [&](const std::string &) {
    for (Fleet::Host *Agent : F.engineAgents()) {
      std::this_thread::sleep_for(60ms);
      Agent->Process->kill();
      F.startHost(*Agent);
    }
  });
}

BOOST_AUTO_TEST_CASE(engine_reloads_and_restarts_by_itself) {
  Fleet F(engines());
  std::string Other = F.makeVersion(9);
  const std::string Engine = F.engineAgents()[0]->Target;
  Load Chats(F, 8, chatsOf(F, {F.version()}));
  for (int Round = 0; Round < 5; ++Round) {
    std::this_thread::sleep_for(400ms);
    F.setFaults(Engine, R"({"swap_version":{"name":"draft","version":")" +
                            Other + "\"}}");
    std::this_thread::sleep_for(400ms);
    F.setFaults(F.engineAgents()[1]->Target, R"({"crash":true})");
  }
  LoadReport Report = Chats.stop();
  BOOST_TEST_MESSAGE(Report);
  BOOST_TEST(Report.Wrong == 0u, Report);
  BOOST_TEST(Report.Answered > 50u, Report);
}

BOOST_AUTO_TEST_CASE(engines_ignore_fences_and_operators_change_their_minds) {
  Fleet F(engines());
  for (Fleet::Host *Agent : F.engineAgents())
    F.setFaults(Agent->Target, R"({"ignore_fence":true})");
  std::string First = F.version();
  std::string Second = F.makeVersion(2);
  std::string Third = F.makeVersion(3);
  Load Chats(F, 8, chatsOf(F, {First, Second, Third}));
  for (const std::string &Version : {Second, First, Third, Second, Third}) {
    std::this_thread::sleep_for(300ms);
    auto Applied = F.applyVersion(*F.entries()[1], Version);
    BOOST_TEST(Applied.status() < 300u, Applied.body());
  }
  Fleet::await("all engines hold the last version", 40s,
               [&] { return allServe(F, Third); });
  LoadReport Report = Chats.stop();
  BOOST_TEST_MESSAGE(Report);
  BOOST_TEST(Report.Wrong == 0u, Report);
}

BOOST_AUTO_TEST_CASE(cold_engines_get_what_they_bear) {
  FleetOptions Options;
  Options.Services = 0;
  Options.EntriesPerDomain = 4;
  Options.EnginesPerDomain = 1;
  Options.EngineArguments = {"--warm-after",        "40",
                             "--cold-concurrency",  "2",
                             "--token-interval-us", "4000"};
  Fleet F(Options);
  Load Chats(F, 24, chatCalls(F, true));
  std::this_thread::sleep_for(3s);
  // A crash makes the engine cold again.
  F.setFaults(F.engineAgents()[0]->Target, R"({"crash":true})");
  std::this_thread::sleep_for(5s);
  LoadReport Report = Chats.stop();
  BOOST_TEST_MESSAGE(Report);
  BOOST_TEST(Report.Wrong == 0u, Report);
  for (Fleet::Host *Agent : F.engineAgents()) {
    BOOST_TEST(F.counter(Agent->Target, "most_at_once_while_cold") <= 2u);
    auto Ordered = Agent == F.engineAgents()[0] ? 1u : 0u;
    BOOST_TEST(F.counter(Agent->Target, "crashes") == Ordered);
  }
}

/// Sends a request that crashes each engine that runs it, again and again,
/// beside normal load.
/// @return the crashes.
static std::uint64_t sendPoison(Fleet &F, std::size_t Callers) {
  for (Fleet::Host *Agent : F.engineAgents())
    F.setFaults(Agent->Target, R"({"crash_on":"poison"})");
  Load Chats(F, 6, chatCalls(F, true));
  std::this_thread::sleep_for(500ms);
  Load Poison(F, Callers, [&F](std::uint64_t, Fleet::Host &Entry, Load &To) {
    To.count(F.caller().call(Entry.Http, F.chat("poison", true), 15s), "",
             "never");
  });
  std::this_thread::sleep_for(5s);
  LoadReport Told = Poison.stop();
  LoadReport Report = Chats.stop();
  BOOST_TEST_MESSAGE("poison: " << Told);
  BOOST_TEST_MESSAGE("others: " << Report);
  BOOST_TEST(Told.Answered == 0u, Told);
  BOOST_TEST(Report.Wrong == 0u, Report);
  BOOST_TEST(Report.Answered > 200u, Report);
  std::uint64_t Crashes = 0;
  for (Fleet::Host *Agent : F.engineAgents())
    Crashes += F.counter(Agent->Target, "crashes");
  return Crashes;
}

BOOST_AUTO_TEST_CASE(request_that_kills_engines_is_sent_again) {
  Fleet F(engines());
  BOOST_TEST(sendPoison(F, 1) <= 2u);
}

BOOST_AUTO_TEST_CASE(request_that_kills_engines_is_sent_by_many) {
  Fleet F(engines());
  BOOST_TEST(sendPoison(F, 4) <= 2u);
}

BOOST_AUTO_TEST_SUITE_END()
