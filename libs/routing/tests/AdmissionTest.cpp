#include "routing/Admission.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <functional>
#include <random>
#include <rapidcheck.h>
#include <vector>

using namespace rosemarylane::routing;
using namespace std::chrono_literals;
using rosemarylane::core::TrafficClass;

namespace {

constexpr TrafficClass Classes[] = {
    TrafficClass::Interactive, TrafficClass::Standard, TrafficClass::Batch};

/// Latency of a simulated target: constant up to its capacity, then in
/// proportion to the requests in progress.
class LatencyModel {
public:
  std::uint32_t Capacity = 1;
  /// Latency up to the capacity.
  std::chrono::nanoseconds UnloadedLatency{100ms};

  std::chrono::nanoseconds latency(std::uint32_t InProgress) const {
    return UnloadedLatency * std::max<std::uint32_t>(Capacity, InProgress) /
           Capacity;
  }
};

/// Keeps the target at its limit for \p Answers answers.
/// @return the largest number of requests in progress.
std::uint32_t saturate(Admission &Controller, const LatencyModel &Target,
                       int Answers) {
  std::uint32_t Peak = 0;
  for (int I = 0; I < Answers; ++I) {
    while (Controller.tryAdmit(TrafficClass::Interactive) ==
           Admission::Decision::Admitted)
      Peak = std::max(Peak, Controller.inProgress());
    Controller.finished(Admission::Outcome::Answered,
                        Target.latency(Controller.inProgress()));
  }
  return Peak;
}

/// @return the mean limit after warm-up, for a ceiling of 8.
/// @param LatencyMs latency of the given answer.
double meanLimit(const std::function<double(int Answer)> &LatencyMs) {
  constexpr int WarmUp = 500;
  constexpr int Answers = 20000;
  Admission Controller(8);
  double Sum = 0;
  for (int I = 0; I < WarmUp + Answers; ++I) {
    while (Controller.tryAdmit(TrafficClass::Interactive) ==
           Admission::Decision::Admitted)
      ;
    Controller.finished(Admission::Outcome::Answered,
                        std::chrono::microseconds(
                            static_cast<std::int64_t>(1000 * LatencyMs(I))));
    if (I >= WarmUp)
      Sum += Controller.limit();
  }
  BOOST_TEST_MESSAGE("mean limit " << Sum / Answers << " of 8");
  return Sum / Answers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission)

BOOST_AUTO_TEST_CASE(starts_with_one_request) {
  Admission Controller(16);
  BOOST_TEST((Controller.tryAdmit(TrafficClass::Interactive) ==
              Admission::Decision::Admitted));
  BOOST_TEST((Controller.tryAdmit(TrafficClass::Interactive) ==
              Admission::Decision::Busy));
}

BOOST_AUTO_TEST_CASE(reaches_target_capacity_with_a_bounded_peak) {
  BOOST_TEST(rc::check("limit converges to the target capacity", [] {
    LatencyModel Target;
    Target.Capacity = *rc::gen::inRange(1u, 65u);
    Admission Controller(256);
    std::uint32_t Peak = saturate(Controller, Target, 20000);
    // The limit grows while the latency is below `GrowBelowLatencyRatio` times
    // the baseline, so the peak may be one growth step beyond that.
    RampSettings Settings;
    RC_ASSERT(Peak <= Settings.GrowBelowLatencyRatio *
                              (1 + Settings.GrowthFraction) * Target.Capacity +
                          1);
    // A probe may be running, so take the maximum over several rounds.
    std::uint32_t Limit = 0;
    for (std::uint32_t I = 0; I < 6 * Target.Capacity + 40; ++I) {
      saturate(Controller, Target, 1);
      Limit = std::max(Limit, Controller.limit());
    }
    RC_ASSERT(Limit >= Target.Capacity);
  }));
}

BOOST_AUTO_TEST_CASE(grows_no_more_than_a_quarter_in_a_round) {
  Admission Controller(64);
  LatencyModel Target;
  Target.Capacity = 64;
  std::uint32_t Before = Controller.limit();
  int Answers = 0;
  while (Controller.limit() < 64) {
    saturate(Controller, Target, 1);
    ++Answers;
    std::uint32_t After = Controller.limit();
    if (After == Before)
      continue;
    BOOST_TEST(After <= Before + std::max(1u, Before / 4));
    // A full round at the previous limit has ended.
    BOOST_TEST(Answers >= static_cast<int>(Before));
    Answers = 0;
    Before = After;
  }
}

BOOST_AUTO_TEST_CASE(in_progress_is_never_above_the_limit_at_an_admission) {
  BOOST_TEST(rc::check("senders without coordination", [] {
    std::uint32_t Ceiling = *rc::gen::inRange(1u, 40u);
    Admission Controller(Ceiling);
    std::uint32_t Running = 0;
    int Steps = *rc::gen::inRange(0, 400);
    for (int I = 0; I < Steps; ++I) {
      switch (*rc::gen::inRange(0, 12)) {
      case 0:
        Controller.resetLimit();
        RC_ASSERT(Controller.limit() <= 1u);
        break;
      case 1:
        Controller.setOutOfService(*rc::gen::arbitrary<bool>());
        break;
      case 2:
        Ceiling = *rc::gen::inRange(1u, 40u);
        Controller.setCeiling(Ceiling);
        break;
      case 3:
      case 4:
      case 5:
        if (Running > 0) {
          Controller.finished(
              *rc::gen::element(
                  Admission::Outcome::Answered, Admission::Outcome::Answered,
                  Admission::Outcome::Failed, Admission::Outcome::Abandoned),
              std::chrono::microseconds(*rc::gen::inRange(1, 90000)));
          --Running;
        }
        break;
      default:
        // Eight entry processes send one request each at the same time.
        for (int Entry = 0; Entry < 8; ++Entry) {
          auto Class = Classes[*rc::gen::inRange(0, 3)];
          std::uint32_t Limit = Controller.limit();
          std::uint32_t Credits = Controller.credits(Class);
          auto Result = Controller.tryAdmit(Class);
          RC_ASSERT((Result == Admission::Decision::Admitted) == (Credits > 0));
          if (Result != Admission::Decision::Admitted)
            continue;
          RC_ASSERT(!Controller.outOfService());
          RC_ASSERT(++Running <= Limit);
          RC_ASSERT(Limit <= Ceiling);
        }
      }
      RC_ASSERT(Controller.inProgress() == Running);
    }
  }));
}

BOOST_AUTO_TEST_CASE(restarts_when_latency_shows_a_cold_target) {
  Admission Controller(32);
  LatencyModel Warm{32, 100ms};
  saturate(Controller, Warm, 2000);
  BOOST_TEST(Controller.limit() == 32u);
  // The target does not report that it has turned cold.
  LatencyModel Cold{2, 400ms};
  saturate(Controller, Cold, 40);
  BOOST_TEST(Controller.limit() <= 2u);
}

BOOST_AUTO_TEST_CASE(restarts_at_any_moment_the_target_turns_cold) {
  // The range includes probe rounds.
  for (int Answers = 1900; Answers < 4000; Answers += 7) {
    Admission Controller(32);
    saturate(Controller, LatencyModel{32, 100ms}, Answers);
    std::uint32_t Least = Controller.limit();
    // Enough answers to end the requests in progress and to collect the cold
    // samples.
    for (int I = 0; I < 36; ++I) {
      saturate(Controller, LatencyModel{2, 400ms}, 1);
      Least = std::min(Least, Controller.limit());
    }
    BOOST_TEST_REQUIRE(Least == 1u);
    RampSettings Settings;
    BOOST_TEST_REQUIRE(Controller.limit() <= Settings.GrowBelowLatencyRatio *
                                                 (1 + Settings.GrowthFraction) *
                                                 2);
  }
}

BOOST_AUTO_TEST_CASE(backs_off_when_target_capacity_drops) {
  Admission Controller(32);
  saturate(Controller, LatencyModel{32, 100ms}, 2000);
  BOOST_TEST(Controller.limit() == 32u);
  LatencyModel Slower{8, 100ms};
  saturate(Controller, Slower, 400);
  std::uint32_t Peak = 0;
  for (int I = 0; I < 400; ++I) {
    saturate(Controller, Slower, 1);
    Peak = std::max(Peak, Controller.limit());
  }
  RampSettings Settings;
  BOOST_TEST(Peak >= 8u);
  BOOST_TEST(Peak <= Settings.GrowBelowLatencyRatio *
                             (1 + Settings.GrowthFraction) * 8 +
                         1);
}

BOOST_AUTO_TEST_CASE(stays_at_one_while_the_target_reports_cold) {
  Admission Controller(32);
  LatencyModel Target{32, 100ms};
  saturate(Controller, Target, 2000);
  Controller.setCold(true);
  saturate(Controller, Target, 2000);
  BOOST_TEST(Controller.limit() == 1u);
  BOOST_TEST(Controller.inProgress() <= 1u);
  Controller.setCold(false);
  saturate(Controller, Target, 2000);
  BOOST_TEST(Controller.limit() == 32u);
}

BOOST_AUTO_TEST_CASE(returns_to_service_at_the_initial_limit) {
  Admission Controller(32);
  saturate(Controller, LatencyModel{32, 100ms}, 2000);
  std::uint32_t Running = Controller.inProgress();
  Controller.setOutOfService(true);
  BOOST_TEST((Controller.tryAdmit(TrafficClass::Interactive) ==
              Admission::Decision::OutOfService));
  Controller.setOutOfService(false);
  BOOST_TEST(Controller.limit() == 1u);
  BOOST_TEST(Controller.inProgress() == Running);
  BOOST_TEST((Controller.tryAdmit(TrafficClass::Interactive) ==
              Admission::Decision::Busy));
}

BOOST_AUTO_TEST_CASE(batch_work_leaves_room_for_higher_classes) {
  Admission Controller(32);
  saturate(Controller, LatencyModel{32, 100ms}, 4000);
  while (Controller.inProgress() > 0)
    Controller.finished(Admission::Outcome::Abandoned, 0ns);
  while (Controller.tryAdmit(TrafficClass::Batch) ==
         Admission::Decision::Admitted)
    ;
  BOOST_TEST(Controller.inProgress() ==
             Controller.limit() - Controller.limit() / 16);
  BOOST_TEST((Controller.tryAdmit(TrafficClass::Interactive) ==
              Admission::Decision::Admitted));
}

BOOST_AUTO_TEST_CASE(stays_at_the_ceiling_when_latencies_vary_by_chance) {
  // Prompts of very different length, at a target whose capacity is the
  // ceiling.
  for (double MedianMs : {5.0, 80.0, 300.0}) {
    std::mt19937_64 Draw(20261204);
    std::lognormal_distribution<double> Noise(0, 0.8);
    BOOST_TEST(meanLimit([&](int) { return MedianMs * Noise(Draw); }) >=
               0.95 * 8);
  }
}

BOOST_AUTO_TEST_CASE(stays_at_the_ceiling_on_a_host_with_short_stalls) {
  std::mt19937_64 Draw(20261204);
  std::lognormal_distribution<double> Noise(0, 0.3);
  BOOST_TEST(meanLimit([&](int Answer) {
               // Of each `PeriodAnswers` answers, the first `StalledAnswers`
               // are 12 ms slower.
               constexpr int PeriodAnswers = 200;
               constexpr int StalledAnswers = 60;
               return 2 * Noise(Draw) +
                      (Answer % PeriodAnswers < StalledAnswers ? 12 : 0);
             }) >= 0.95 * 8);
}

BOOST_AUTO_TEST_SUITE_END()
