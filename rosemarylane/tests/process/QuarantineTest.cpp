/// A request that crashes each target that runs it costs two at most, and
/// others keep being served.

#include "Load.h"

#include <boost/test/unit_test.hpp>

using namespace rosemarylane;
using namespace rosemarylane::process_tests;
using namespace std::chrono_literals;

namespace {

std::uint64_t crashes(Fleet &F) {
  std::uint64_t Total = 0;
  for (Fleet::Host *Agent : F.engineAgents())
    Total += F.counter(Agent->Target, "crashes");
  return Total;
}

} // namespace

BOOST_AUTO_TEST_SUITE(quarantine)

BOOST_AUTO_TEST_CASE(sent_again_without_pause_through_all_entries) {
  FleetOptions Options;
  Options.FailureDomains = {"a", "b", "c"};
  Options.Services = 0;
  Options.EnginesPerDomain = 2;
  Options.EngineArguments = {"--restart-ms", "500"};
  Fleet F(Options);
  for (Fleet::Host *Agent : F.engineAgents())
    F.setFaults(Agent->Target, R"({"crash_on":"poison"})");
  Load Chats(F, 6, chatCalls(F, false));
  std::this_thread::sleep_for(500ms);
  std::uint64_t Quarantined = 0;
  std::uint64_t MayHaveRun = 0;
  std::uint64_t Sent = 0;
  auto End = std::chrono::steady_clock::now() + 6s;
  while (std::chrono::steady_clock::now() < End) {
    auto &Entry = *F.entries()[Sent++ % F.entries().size()];
    auto Answer = F.caller().call(Entry.Http, F.chat("poison", false));
    BOOST_TEST(!Answer.ok(), Answer.body());
    if (Answer.body().find("quarantined") == std::string::npos)
      continue;
    ++Quarantined;
    // The one that ran at both deaths is told so.
    if (Answer.ran() != "no")
      ++MayHaveRun;
  }
  auto Report = Chats.stop();
  BOOST_TEST_MESSAGE("sent " << Sent << ", refused as quarantined "
                             << Quarantined << ", crashes " << crashes(F));
  BOOST_TEST_MESSAGE(Report);
  BOOST_TEST(crashes(F) <= 2u);
  BOOST_TEST(Quarantined > 0u);
  BOOST_TEST(MayHaveRun <= 2u);
  BOOST_TEST(Report.Wrong == 0u, Report);
  BOOST_TEST(Report.NotWhole == 0u, Report);
  BOOST_TEST(Report.Refused == 0u, Report);
  BOOST_TEST(Report.Answered > 100u, Report);
}

BOOST_AUTO_TEST_SUITE_END()
