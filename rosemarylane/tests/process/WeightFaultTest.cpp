/// Faults while weights are fetched, loaded and switched: they only delay a
/// rollout, and nothing is answered from partial or mixed weights.

#include "WeightFleet.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

using namespace rosemarylane::process_tests;
using namespace std::chrono_literals;

namespace {

constexpr unsigned NoFloor = 0;
constexpr auto SettleLimit = 15s;
/// Chunk reads take long enough to fail in the middle of a version.
constexpr char SlowOrigin[] = R"({"only":"/v1/chunks","latency_ms":300})";
constexpr char FastOrigin[] = R"({"only":"","latency_ms":0})";

/// Checks that calls through every entry are answered whole, from one of
/// \p Versions.
void checkAnswers(WeightFleet &F, const std::vector<std::string> &Versions) {
  Fleet &Running = F.fleet();
  for (Fleet::Host *Entry : Running.entries()) {
    std::string Text;
    Fleet::await("an answer through " + Entry->Name, SettleLimit, [&] {
      auto Answer =
          Running.caller().call(Entry->Http, Running.chat("which?", true));
      Text = Fleet::textOf(Answer, true);
      return Answer.ok();
    });
    bool Known = std::any_of(
        Versions.begin(), Versions.end(), [&](const std::string &Version) {
          return WeightFleet::expectedText(Version, "which?") == Text;
        });
    BOOST_TEST(Known, "answered " << Text);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(weight_faults)

BOOST_AUTO_TEST_CASE(corrupt_chunks_and_swapped_manifests_are_never_loaded) {
  WeightFleet F;
  std::string Version = F.makeVersion(2);
  std::string First = F.loaded(*F.agents().front());
  F.fleet().setFaults(F.fleet().platform(),
                      R"({"swap_version":")" + Version + R"("})");
  F.rollOut(Version, NoFloor);
  Fleet::await("the swapped manifest is found out", SettleLimit, [&] {
    return F.metric("rosemarylane_weight_corrupt_chunks_total") >= 1;
  });
  BOOST_TEST(F.loadedBy(First) == F.agents().size());
  checkAnswers(F, {First});

  // The origin mends itself, but now changes bytes of some chunks; so does one
  // engine that peers read from.
  F.fleet().setFaults(F.fleet().platform(),
                      R"({"swap_version":"","only":"/v1/chunks",)"
                      R"("corrupt_chunks":6})");
  F.fleet().setFaults(F.agents().front()->Target, R"({"corrupt_chunks":3})");
  F.awaitLoadedByAll(Version);
  BOOST_TEST(F.metric("rosemarylane_weight_corrupt_chunks_total") >= 6);
  checkAnswers(F, {Version});
}

BOOST_AUTO_TEST_CASE(a_killed_agent_resumes_beside_its_engine) {
  WeightFleet F;
  auto &Running = F.fleet();
  Running.setFaults(Running.platform(), SlowOrigin);
  auto Before = Running.counter(Running.platform(), "chunks");
  std::string Version = F.makeVersion(3);
  Fleet::Host &Victim = *F.agents().front();
  auto HeldBefore = F.chunks(Victim).size();
  F.rollOut(Version, NoFloor);
  Fleet::await("some chunks are fetched", SettleLimit,
               [&] { return F.chunks(Victim).size() >= HeldBefore + 4; });
  Victim.Process->kill();
  Running.startHost(Victim);
  F.awaitLoadedByAll(Version);
  // Each chunk once, and those that were on their way to the victim again.
  auto Read = Running.counter(Running.platform(), "chunks") - Before;
  BOOST_TEST(Read <= 2 * WeightFleet::Chunks);
  Running.setFaults(Running.platform(), FastOrigin);

  // An engine that loses its memory is filled by its neighbours.
  auto ReadBefore = Running.counter(Running.platform(), "chunks");
  Running.setFaults(Victim.Target, R"({"crash":true})");
  Fleet::await("the engine has restarted empty", SettleLimit,
               [&] { return F.loaded(Victim).empty(); });
  F.awaitLoadedByAll(Version);
  auto ReadAgain = Running.counter(Running.platform(), "chunks") - ReadBefore;
  BOOST_TEST(ReadAgain <= WeightFleet::Chunks);
  checkAnswers(F, {Version});
}

BOOST_AUTO_TEST_CASE(orders_that_come_late_do_not_stay_in_force) {
  WeightFleet F;
  Fleet::Host &Fenced = *F.agents()[0];
  Fleet::Host &Unfenced = *F.agents()[1];
  std::string Old = F.loaded(Fenced);
  F.fleet().setFaults(Unfenced.Target, R"({"ignore_fence":true})");
  std::string Version = F.makeVersion(4);
  F.rollOut(Version, NoFloor);
  F.awaitLoadedByAll(Version);

  constexpr unsigned Conflict = 409;
  BOOST_TEST(F.orderLoad(Fenced, Old, 1) == Conflict);
  BOOST_TEST(F.loaded(Fenced) == Version);

  // This engine takes the old order: the agent reads it back and corrects it.
  BOOST_TEST(F.orderLoad(Unfenced, Old, 1) == 200u);
  F.awaitLoadedByAll(Version);
  checkAnswers(F, {Version});

  // Weights that no agent has checked are not served, and replaced.
  F.fleet().setFaults(Unfenced.Target,
                      R"({"swap_version":{"name":"draft","version":")" +
                          std::string(64, 'e') + R"("}})");
  F.awaitLoadedByAll(Version);
  checkAnswers(F, {Version});
}

BOOST_AUTO_TEST_CASE(restored_store_and_a_fleet_that_starts_anew_load_weights) {
  WeightFleet F;
  Fleet &Running = F.fleet();
  Running.setFaults(Running.platform(), R"({"copy_store":true})");
  for (int Seed : {7, 8}) {
    std::string Version = F.makeVersion(Seed);
    F.rollOut(Version, NoFloor);
    F.awaitLoadedByAll(Version);
  }
  std::vector<Fleet::Host *> Hosts = Running.entries();
  for (Fleet::Host *Agent : Running.agents())
    Hosts.push_back(Agent);
  for (Fleet::Host *H : Hosts)
    H->Process->kill();
  Running.setFaults(Running.platform(), R"({"restore_store":true})");
  for (Fleet::Host *H : Hosts)
    Running.startHost(*H);
  for (Fleet::Host *H : Hosts)
    Fleet::await(H->Name + " has a configuration", SettleLimit,
                 [&] { return Running.revision(*H).value_or(0) > 0; });
  // The engines have seen orders of a higher revision.
  std::string Version = F.makeVersion(9);
  F.rollOut(Version, NoFloor);
  F.awaitLoadedByAll(Version);
  checkAnswers(F, {Version});
}

BOOST_AUTO_TEST_CASE(a_failing_version_stops_and_a_newer_one_replaces_it) {
  WeightFleet F;
  std::string First = F.loaded(*F.agents().front());
  for (Fleet::Host *Agent : F.agents())
    F.fleet().setFaults(Agent->Target, R"({"fail_load":true})");
  std::string Failing = F.makeVersion(5);
  F.rollOut(Failing, 2);
  Fleet::await("the rollout says that it has stopped", SettleLimit, [&] {
    return F.loadErrors().find("stopped") != std::string::npos;
  });
  // One replica has tried; all of them still have the version before.
  BOOST_TEST(F.loadedBy(First) == F.agents().size());
  checkAnswers(F, {First});

  for (Fleet::Host *Agent : F.agents())
    F.fleet().setFaults(Agent->Target, R"({"fail_load":false})");
  F.fleet().setFaults(F.fleet().platform(), SlowOrigin);
  std::string Passing = F.makeVersion(6);
  F.rollOut(Passing, 2);
  std::string Last = F.makeVersion(7);
  F.rollOut(Last, 2);
  checkAnswers(F, {First, Passing, Last});
  F.awaitLoadedByAll(Last);
  Fleet::await("no load error is left", SettleLimit,
               [&] { return F.loadErrors().empty(); });
  checkAnswers(F, {Last});
}

BOOST_AUTO_TEST_CASE(an_old_version_makes_room_for_a_new_one) {
  // Room for one and a half of the versions that are made here.
  WeightFleet F({"--memory-bytes", "1700000"});
  constexpr unsigned Floor = 2;
  std::string First = F.makeVersion(8);
  F.rollOut(First, Floor);
  F.awaitLoadedByAll(First);
  std::string Second = F.makeVersion(9);
  F.rollOut(Second, Floor);
  std::size_t Fewest = F.agents().size();
  Fleet::await("all engines have loaded the second version", SettleLimit, [&] {
    std::size_t New = F.loadedBy(Second);
    Fewest = std::min(Fewest, New + F.loadedBy(First));
    return New == F.agents().size();
  });
  BOOST_TEST(Fewest >= Floor);

  checkAnswers(F, {Second});
}

BOOST_AUTO_TEST_CASE(an_adapter_arrives_beside_a_new_version_of_its_base) {
  WeightFleet F;
  constexpr unsigned AdapterReplicas = 2;
  std::string Base = F.makeVersion(10);
  std::string Adapter = F.makeVersion(11);
  F.rollOut(Base, 2, WeightFleet::Adapter{Adapter, AdapterReplicas});
  F.awaitLoadedByAll(Base);
  Fleet::await("the adapter has its replicas", SettleLimit, [&] {
    return F.loadedBy(Adapter, WeightFleet::AdapterName) == AdapterReplicas;
  });
  checkAnswers(F, {Base});
}

BOOST_AUTO_TEST_SUITE_END()
