/// An accepted configuration is in force everywhere within 2 s, and no process
/// ever goes back to an older one.

#include "Fleet.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace rosemarylane;
using namespace rosemarylane::process_tests;
using namespace std::chrono_literals;

namespace {

constexpr auto Bound = 2s;

FleetOptions fleet() {
  FleetOptions Options;
  Options.FailureDomains = {"a", "b", "c"};
  Options.StoreRelay = true;
  return Options;
}

/// Watches the revision of every process, and remembers one that went back.
class RevisionWatch {
public:
  explicit RevisionWatch(Fleet &F) : F(F), Thread([this] { run(); }) {}
  ~RevisionWatch() {
    Stopping = true;
    Thread.join();
    BOOST_TEST(WentBack.empty(), WentBack);
  }

private:
  void run() {
    std::map<std::string, std::uint64_t> Highest;
    auto Hosts = F.entries();
    for (Fleet::Host *H : F.agents())
      Hosts.push_back(H);
    while (!Stopping)
      for (Fleet::Host *H : Hosts) {
        auto Now = F.revision(*H);
        // A process that has just started knows of none yet.
        if (!Now || *Now == 0)
          continue;
        if (*Now < Highest[H->Name])
          WentBack += H->Name + ": " + std::to_string(Highest[H->Name]) +
                      " to " + std::to_string(*Now) + "\n";
        Highest[H->Name] = *Now;
      }
  }

  Fleet &F;
  std::atomic<bool> Stopping{false};
  std::string WentBack;
  std::thread Thread;
};

std::uint64_t acceptedRevision(const CallResult &Accepted) {
  BOOST_REQUIRE_MESSAGE(Accepted.whole() && Accepted.status() < 300,
                        Accepted.status() << Accepted.body() << Accepted.Error);
  return Accepted.json().at("revision").to_number<std::uint64_t>();
}

void awaitEverywhere(Fleet &F, std::uint64_t Revision,
                     const std::vector<Fleet::Host *> &Except = {},
                     std::chrono::milliseconds Limit = Bound) {
  auto Hosts = F.entries();
  for (Fleet::Host *H : F.agents())
    Hosts.push_back(H);
  auto Deadline = std::chrono::steady_clock::now() + Limit;
  for (Fleet::Host *H : Hosts) {
    if (std::find(Except.begin(), Except.end(), H) != Except.end())
      continue;
    auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
        Deadline - std::chrono::steady_clock::now());
    Fleet::await("revision " + std::to_string(Revision) + " at " + H->Name,
                 std::max(Left, 0ms),
                 [&] { return F.revision(*H).value_or(0) >= Revision; });
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_in_force)

BOOST_AUTO_TEST_CASE(store_slow) {
  Fleet F(fleet());
  RevisionWatch Watch(F);
  F.setFaults(F.platform(), R"({"only":"/v3/","latency_ms":400})");
  for (std::size_t By = 0; By < 6; ++By)
    awaitEverywhere(
        F, acceptedRevision(F.orderDomain(*F.entries()[By], "a", By % 2 == 0)));
}

BOOST_AUTO_TEST_CASE(processes_start_in_an_outage) {
  Fleet F(fleet());
  RevisionWatch Watch(F);
  auto Revision = acceptedRevision(F.orderDomain(*F.entries()[0], "a", true));
  awaitEverywhere(F, Revision);
  F.setFaults(F.platform(), R"({"only":"/v3/","outage":true})");
  // All entries of a failure domain at once, then an agent.
  for (Fleet::Host *H : F.entriesOf("b")) {
    H->Process->kill();
    F.startHost(*H);
  }
  F.agents()[0]->Process->kill();
  F.startHost(*F.agents()[0]);
  awaitEverywhere(F, Revision, {}, 4s);
  F.setFaults(F.platform(), R"({"outage":false})");
  auto Next = acceptedRevision(F.orderDomain(*F.entriesOf("b")[0], "a", false));
  BOOST_TEST(Next > Revision);
  awaitEverywhere(F, Next);
}

BOOST_AUTO_TEST_CASE(store_connections_fall_silent) {
  Fleet F(fleet());
  RevisionWatch Watch(F);
  for (std::size_t By = 0; By < 4; ++By) {
    F.setFaults(F.storeRelayControl(), R"({"silent_existing":true})");
    std::this_thread::sleep_for(2s);
    auto Revision =
        acceptedRevision(F.orderDomain(*F.entries()[By], "a", By % 2 == 0));
    awaitEverywhere(F, Revision);
  }
}

BOOST_AUTO_TEST_SUITE_END()
