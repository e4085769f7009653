#include "swarm/Rollout.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace rosemarylane;
using swarm::decideSwitch;
using swarm::ReplicaStatus;
using swarm::SwitchDecision;

namespace {

const core::Digest OldVersion = core::Digest::of("old");
const core::Digest NewVersion = core::Digest::of("new");

core::HostId host(std::size_t I) {
  return core::HostId("host-" + std::to_string(I));
}

std::vector<ReplicaStatus> servingOld(std::size_t Count) {
  std::vector<ReplicaStatus> Replicas;
  for (std::size_t I = 0; I < Count; ++I)
    Replicas.push_back({host(I), OldVersion, true, false});
  return Replicas;
}

std::size_t serving(const std::vector<ReplicaStatus> &Replicas) {
  return static_cast<std::size_t>(
      std::count_if(Replicas.begin(), Replicas.end(),
                    [](const ReplicaStatus &R) { return R.Serving; }));
}

/// Simulates a rollout in which each replica decides on an outdated view of the
/// others.
class Rollout {
public:
  Rollout(std::size_t Count, std::uint32_t Floor)
      : Floor(Floor), Replicas(servingOld(Count)), Switching(Count, false) {
    History.push_back(Replicas);
  }

  /// Lets replica \p I decide on the state of the others \p Lag steps ago.
  void decide(std::size_t I, std::size_t Lag) {
    auto View = History[History.size() - 1 - std::min(Lag, History.size() - 1)];
    View[I] = Replicas[I];
    if (Switching[I] || Replicas[I].Loaded == NewVersion)
      return;
    if (decideSwitch(host(I), NewVersion, Floor, View) ==
        SwitchDecision::Switch) {
      Switching[I] = true;
      Replicas[I].Serving = false;
    }
    record();
  }

  void finishSwitch(std::size_t I) {
    if (!Switching[I])
      return;
    Switching[I] = false;
    Replicas[I].Loaded = NewVersion;
    Replicas[I].Serving = true;
    record();
  }

  bool done() const {
    return std::all_of(
        Replicas.begin(), Replicas.end(),
        [](const ReplicaStatus &R) { return R.Loaded == NewVersion; });
  }

  const std::vector<ReplicaStatus> &replicas() const { return Replicas; }

private:
  void record() { History.push_back(Replicas); }

  std::uint32_t Floor;
  std::vector<ReplicaStatus> Replicas;
  std::vector<bool> Switching;
  std::vector<std::vector<ReplicaStatus>> History;
};

} // namespace

BOOST_AUTO_TEST_SUITE(rollout)

BOOST_AUTO_TEST_CASE(the_serving_floor_holds_under_stale_views) {
  BOOST_TEST(rc::check([] {
    auto Count = *rc::gen::inRange<std::size_t>(2, 12);
    auto Floor =
        *rc::gen::inRange<std::uint32_t>(0, static_cast<std::uint32_t>(Count));
    Rollout Fleet(Count, Floor);
    for (int Step = 0; Step < 200; ++Step) {
      auto I = *rc::gen::inRange<std::size_t>(0, Count);
      if (*rc::gen::arbitrary<bool>())
        Fleet.decide(I, *rc::gen::inRange<std::size_t>(0, 5));
      else
        Fleet.finishSwitch(I);
      RC_ASSERT(serving(Fleet.replicas()) >= Floor);
    }
  }));
}

BOOST_AUTO_TEST_CASE(every_rollout_ends) {
  BOOST_TEST(rc::check([] {
    auto Count = *rc::gen::inRange<std::size_t>(1, 12);
    auto Floor =
        *rc::gen::inRange<std::uint32_t>(0, static_cast<std::uint32_t>(Count));
    Rollout Fleet(Count, Floor);
    for (std::size_t Round = 0; Round <= Count; ++Round)
      for (std::size_t I = 0; I < Count; ++I) {
        Fleet.decide(I, 0);
        Fleet.finishSwitch(I);
      }
    RC_ASSERT(Fleet.done());
  }));
}

BOOST_AUTO_TEST_CASE(the_first_replica_switches_alone_and_a_wave_follows) {
  auto Replicas = servingOld(6);
  auto Decide = [&](std::size_t I) {
    return decideSwitch(host(I), NewVersion, 3, Replicas);
  };
  BOOST_TEST((Decide(0) == SwitchDecision::Switch));
  for (std::size_t I = 1; I < 6; ++I)
    BOOST_TEST((Decide(I) == SwitchDecision::Wait));
  Replicas[0].Loaded = NewVersion;
  // Loaded but not warm yet: the others wait.
  Replicas[0].Serving = false;
  BOOST_TEST((Decide(1) == SwitchDecision::Wait));
  Replicas[0].Serving = true;
  for (std::size_t I = 1; I <= 3; ++I)
    BOOST_TEST((Decide(I) == SwitchDecision::Switch));
  BOOST_TEST((Decide(4) == SwitchDecision::Wait));
}

BOOST_AUTO_TEST_CASE(a_version_that_fails_to_load_first_stops_the_rollout) {
  auto Replicas = servingOld(4);
  Replicas[0].Failed = true;
  for (std::size_t I = 0; I < 4; ++I)
    BOOST_TEST((decideSwitch(host(I), NewVersion, 1, Replicas) ==
                SwitchDecision::Stop));
  // One failure after two successes does not stop the rollout: the cause is
  // taken to be the host, not the version.
  Replicas[0] = {host(0), NewVersion, true, false};
  Replicas[1] = {host(1), NewVersion, true, false};
  Replicas[2].Failed = true;
  BOOST_TEST((decideSwitch(host(3), NewVersion, 1, Replicas) ==
              SwitchDecision::Switch));
}

BOOST_AUTO_TEST_CASE(a_replica_with_nothing_loaded_does_not_wait) {
  auto Replicas = servingOld(4);
  Replicas[3].Loaded = core::Digest();
  Replicas[3].Serving = false;
  BOOST_TEST((decideSwitch(host(3), NewVersion, 3, Replicas) ==
              SwitchDecision::Switch));
}

BOOST_AUTO_TEST_SUITE_END()
