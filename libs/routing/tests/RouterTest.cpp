#include "routing/Router.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <rapidcheck.h>
#include <vector>

using namespace rosemarylane::routing;
using namespace std::chrono_literals;
using rosemarylane::core::HostId;
using rosemarylane::core::TimePoint;
using Distance = Router::Distance;
using Outcome = Router::Outcome;

namespace {

/// @return a target with a concurrency limit of 8.
/// @param QueueCapacity number of requests that the target would accept to
/// wait.
Router::Target target(int Number, Distance Proximity, std::uint32_t Slots,
                      std::uint32_t QueueCapacity) {
  Router::Target T;
  T.Host = HostId("agent-" + std::to_string(Number));
  T.Proximity = Proximity;
  T.Slots = Slots;
  T.Credits = Slots + QueueCapacity;
  T.InProgress = 8 - Slots;
  T.Latency = 50ms;
  return T;
}

/// @return a random number generator with a fixed seed.
Router::Random randomSource() {
  return [Draw = std::mt19937_64(20261204)]() mutable { return Draw(); };
}

/// @return the expected preference of the target; lower is better. 100 means
/// unavailable, and 10 is added if the target is to be avoided.
int naiveRank(const Router::Target &T, std::int64_t SentSince, bool Refused,
              bool Avoided) {
  bool Slot = T.Slots > SentSince;
  if (Refused || (!Slot && T.Credits <= SentSince))
    return 100;
  int Rank = 0;
  if (T.Proximity == Distance::FailureDomain)
    Rank = Slot ? 0 : 2;
  if (T.Proximity == Distance::Region)
    Rank = Slot ? 1 : 2;
  if (T.Proximity == Distance::Fleet)
    Rank = Slot ? 3 : 4;
  return Avoided ? Rank + 10 : Rank;
}

} // namespace

BOOST_AUTO_TEST_SUITE(router)

BOOST_AUTO_TEST_CASE(agrees_with_a_reference_model) {
  BOOST_TEST(rc::check("router against a reference model", [] {
    Router TestedRouter;
    Router::Random Draw = randomSource();
    TimePoint Now{1h};
    std::vector<Router::Target> Targets;
    // State of a target that the router is expected to hold.
    struct ExpectedState {
      std::int64_t InProgress = 0;
      std::int64_t InProgressAtReport = 0;
      bool Refused = false;
      TimePoint AvoidUntil;
    };
    std::vector<ExpectedState> States(5);
    for (int I = 0; I < 5; ++I)
      Targets.push_back(
          target(I, static_cast<Distance>(*rc::gen::inRange(0, 3)),
                 *rc::gen::inRange(0u, 4u), *rc::gen::inRange(0u, 4u)));
    int Steps = *rc::gen::inRange(0, 120);
    for (int Step = 0; Step < Steps; ++Step) {
      Now += std::chrono::milliseconds(*rc::gen::inRange(0, 400));
      auto Which = *rc::gen::inRange<std::size_t>(0, Targets.size());
      ExpectedState &Expected = States[Which];
      switch (*rc::gen::inRange(0, 4)) {
      case 0:
        Targets[Which].Slots = *rc::gen::inRange(0u, 4u);
        Targets[Which].Credits =
            Targets[Which].Slots + *rc::gen::inRange(0u, 4u);
        TestedRouter.reported(Targets[Which].Host);
        Expected.InProgressAtReport = Expected.InProgress;
        Expected.Refused = false;
        break;
      case 1: {
        if (Expected.InProgress == 0)
          break;
        auto How = *rc::gen::element(Outcome::Answered, Outcome::Busy,
                                     Outcome::Failed, Outcome::Abandoned);
        TestedRouter.finished(Targets[Which].Host, How, 50ms, Now);
        --Expected.InProgress;
        if (How == Outcome::Answered)
          Expected.AvoidUntil = {};
        if (How == Outcome::Busy)
          Expected.Refused = true;
        if (How == Outcome::Failed)
          Expected.AvoidUntil = Now + Router::Settings().FailureCooldown;
        break;
      }
      default: {
        std::vector<int> Ranks;
        for (std::size_t I = 0; I < Targets.size(); ++I)
          Ranks.push_back(naiveRank(
              Targets[I], States[I].InProgress - States[I].InProgressAtReport,
              States[I].Refused, States[I].AvoidUntil > Now));
        int Best = *std::min_element(Ranks.begin(), Ranks.end());
        auto Picked =
            TestedRouter.choose(Targets, *rc::gen::inRange(0, 5), Now, Draw);
        RC_ASSERT(Picked.has_value() == (Best < 100));
        if (!Picked)
          break;
        RC_ASSERT(Ranks[*Picked] == Best);
        TestedRouter.started(Targets[*Picked].Host);
        ++States[*Picked].InProgress;
      }
      }
      for (std::size_t I = 0; I < Targets.size(); ++I)
        RC_ASSERT(TestedRouter.inProgress(Targets[I].Host) ==
                  States[I].InProgress);
    }
  }));
}

BOOST_AUTO_TEST_CASE(entries_agree_on_the_target_of_a_suspect) {
  BOOST_TEST(rc::check(
      "target of a suspect depends on no order, distance or load", [] {
        int Count = *rc::gen::inRange(1, 12);
        std::vector<Router::Target> Here;
        std::vector<Router::Target> There;
        for (int I = 0; I < Count; ++I) {
          Here.push_back(target(I, Distance::FailureDomain, 4, 4));
          There.push_back(target(I, Distance::Fleet, 0, 0));
        }
        std::reverse(There.begin(), There.end());
        std::uint64_t Hash = *rc::gen::arbitrary<std::uint64_t>();
        Router A;
        Router B;
        RC_ASSERT(Here[*A.chooseForSuspect(Here, Hash)].Host ==
                  There[*B.chooseForSuspect(There, Hash)].Host);
      }));
}

BOOST_AUTO_TEST_CASE(
    requests_with_one_prefix_share_a_target_while_it_has_capacity) {
  Router TestedRouter;
  std::vector<Router::Target> Targets;
  for (int I = 0; I < 6; ++I)
    Targets.push_back(target(I, Distance::FailureDomain, 8, 8));
  auto Draw = randomSource();
  std::map<std::size_t, int> Picks;
  for (int I = 0; I < 6; ++I) {
    auto Picked = *TestedRouter.choose(Targets, 77, TimePoint{1h}, Draw);
    TestedRouter.started(Targets[Picked].Host);
    ++Picks[Picked];
  }
  BOOST_TEST(Picks.size() == 1u);
  // The last quarter of the target's limit is left to other requests.
  auto Next = *TestedRouter.choose(Targets, 77, TimePoint{1h}, Draw);
  BOOST_TEST(Picks.count(Next) == 0u);
}

BOOST_AUTO_TEST_CASE(a_slow_target_gets_less) {
  Router TestedRouter;
  std::vector<Router::Target> Targets;
  for (int I = 0; I < 4; ++I)
    Targets.push_back(target(I, Distance::FailureDomain, 8, 8));
  Targets[2].Latency = 400ms;
  auto Draw = randomSource();
  std::map<std::size_t, int> Picks;
  for (int I = 0; I < 1000; ++I)
    ++Picks[*TestedRouter.choose(Targets, 0, TimePoint{1h}, Draw)];
  // The slow target is chosen only if both draws select it.
  BOOST_TEST(Picks[2] < 1000 / 8);
}

BOOST_AUTO_TEST_SUITE_END()
