/// An engine that has just started gets no more work than it bears, although
/// entries that know nothing of each other send to it at once.

#include "Load.h"

#include <boost/test/unit_test.hpp>

using namespace rosemarylane;
using namespace rosemarylane::process_tests;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(cold_target)

BOOST_AUTO_TEST_CASE(eight_entries_at_once) {
  // While cold, the engines crash when a third request comes.
  constexpr std::uint64_t Borne = 2;
  FleetOptions Options;
  Options.EntriesPerDomain = 4;
  Options.Services = 0;
  Options.EnginesPerDomain = 1;
  Options.EngineArguments = {"--warm-after", "60", "--cold-concurrency",
                             std::to_string(Borne)};
  Fleet F(Options);
  Load Chats(F, 24, chatCalls(F, false));
  Fleet::await("both engines are warm and under load", 15s, [&] {
    for (Fleet::Host *Agent : F.engineAgents())
      if (F.counter(Agent->Target, "most_at_once") <= Borne)
        return false;
    return true;
  });
  BOOST_TEST_MESSAGE(Chats.stop());
  for (Fleet::Host *Agent : F.engineAgents()) {
    BOOST_TEST(F.counter(Agent->Target, "crashes") == 0u);
    BOOST_TEST(F.counter(Agent->Target, "most_at_once_while_cold") <= Borne);
  }
}

BOOST_AUTO_TEST_SUITE_END()
