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

/// A target that answers in order, slower in proportion once more requests are
/// in progress than it bears; driven in steps of one answer.
class FakeTarget {
public:
  std::uint32_t Bears = 1;
  std::chrono::nanoseconds Base{100ms};

  std::chrono::nanoseconds latency(std::uint32_t InProgress) const {
    return Base * std::max<std::uint32_t>(Bears, InProgress) / Bears;
  }
};

/// Keeps \p Gate full for \p Answers answers.
/// @return the most that was in progress.
std::uint32_t saturate(Admission &Gate, const FakeTarget &Target, int Answers) {
  std::uint32_t Most = 0;
  for (int I = 0; I < Answers; ++I) {
    while (Gate.tryAdmit(TrafficClass::Interactive) ==
           Admission::Decision::Admitted)
      Most = std::max(Most, Gate.inProgress());
    Gate.finished(Admission::Outcome::Answered,
                  Target.latency(Gate.inProgress()));
  }
  return Most;
}

/// The mean limit over many answers at a ceiling of 8, once warm.
/// @param LatencyMs the latency of each answer.
double meanLimit(const std::function<double(int Answer)> &LatencyMs) {
  constexpr int WarmUp = 500;
  constexpr int Answers = 20000;
  Admission Gate(8);
  double Sum = 0;
  for (int I = 0; I < WarmUp + Answers; ++I) {
    while (Gate.tryAdmit(TrafficClass::Interactive) ==
           Admission::Decision::Admitted)
      ;
    Gate.finished(Admission::Outcome::Answered,
                  std::chrono::microseconds(
                      static_cast<std::int64_t>(1000 * LatencyMs(I))));
    if (I >= WarmUp)
      Sum += Gate.limit();
  }
  BOOST_TEST_MESSAGE("mean limit " << Sum / Answers << " of 8");
  return Sum / Answers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission)

BOOST_AUTO_TEST_CASE(starts_with_one_request) {
  Admission Gate(16);
  BOOST_TEST((Gate.tryAdmit(TrafficClass::Interactive) ==
              Admission::Decision::Admitted));
  BOOST_TEST(
      (Gate.tryAdmit(TrafficClass::Interactive) == Admission::Decision::Busy));
}

BOOST_AUTO_TEST_CASE(reaches_what_the_target_bears_without_overshoot) {
  BOOST_TEST(rc::check("limit ends near what is borne", [] {
    FakeTarget Target;
    Target.Bears = *rc::gen::inRange(1u, 65u);
    Admission Gate(256);
    std::uint32_t Most = saturate(Gate, Target, 20000);
    // One step beyond the last limit whose latency was still low.
    RampSettings Settings;
    RC_ASSERT(Most <=
              Settings.GrowBelow * (1 + Settings.Growth) * Target.Bears + 1);
    // A probe may be running, so the limit is looked at over a few rounds.
    std::uint32_t Limit = 0;
    for (std::uint32_t I = 0; I < 6 * Target.Bears + 40; ++I) {
      saturate(Gate, Target, 1);
      Limit = std::max(Limit, Gate.limit());
    }
    RC_ASSERT(Limit >= Target.Bears);
  }));
}

BOOST_AUTO_TEST_CASE(grows_no_more_than_a_quarter_in_a_round) {
  Admission Gate(64);
  FakeTarget Target;
  Target.Bears = 64;
  std::uint32_t Before = Gate.limit();
  int Answers = 0;
  while (Gate.limit() < 64) {
    saturate(Gate, Target, 1);
    ++Answers;
    std::uint32_t After = Gate.limit();
    if (After == Before)
      continue;
    BOOST_TEST(After <= Before + std::max(1u, Before / 4));
    // A full round at the old limit has ended.
    BOOST_TEST(Answers >= static_cast<int>(Before));
    Answers = 0;
    Before = After;
  }
}

BOOST_AUTO_TEST_CASE(in_progress_is_never_above_the_limit_at_an_admission) {
  BOOST_TEST(rc::check("entries that know nothing of each other", [] {
    std::uint32_t Ceiling = *rc::gen::inRange(1u, 40u);
    Admission Gate(Ceiling);
    std::uint32_t Running = 0;
    int Steps = *rc::gen::inRange(0, 400);
    for (int I = 0; I < Steps; ++I) {
      switch (*rc::gen::inRange(0, 12)) {
      case 0:
        Gate.turnedCold();
        RC_ASSERT(Gate.limit() <= 1u);
        break;
      case 1:
        Gate.setOutOfService(*rc::gen::arbitrary<bool>());
        break;
      case 2:
        Ceiling = *rc::gen::inRange(1u, 40u);
        Gate.setCeiling(Ceiling);
        break;
      case 3:
      case 4:
      case 5:
        if (Running > 0) {
          Gate.finished(*rc::gen::element(Admission::Outcome::Answered,
                                          Admission::Outcome::Answered,
                                          Admission::Outcome::Failed,
                                          Admission::Outcome::Abandoned),
                        std::chrono::microseconds(*rc::gen::inRange(1, 90000)));
          --Running;
        }
        break;
      default:
        // Eight entries at once, each with a request of its own.
        for (int Entry = 0; Entry < 8; ++Entry) {
          auto Class = Classes[*rc::gen::inRange(0, 3)];
          std::uint32_t Limit = Gate.limit();
          std::uint32_t Credits = Gate.credits(Class);
          auto Said = Gate.tryAdmit(Class);
          RC_ASSERT((Said == Admission::Decision::Admitted) == (Credits > 0));
          if (Said != Admission::Decision::Admitted)
            continue;
          RC_ASSERT(!Gate.outOfService());
          RC_ASSERT(++Running <= Limit);
          RC_ASSERT(Limit <= Ceiling);
        }
      }
      RC_ASSERT(Gate.inProgress() == Running);
    }
  }));
}

BOOST_AUTO_TEST_CASE(falls_back_to_the_ramp_when_latency_says_cold) {
  Admission Gate(32);
  FakeTarget Warm{32, 100ms};
  saturate(Gate, Warm, 2000);
  BOOST_TEST(Gate.limit() == 32u);
  // Nobody says that the target has turned cold.
  FakeTarget Cold{2, 400ms};
  saturate(Gate, Cold, 40);
  BOOST_TEST(Gate.limit() <= 2u);
}

BOOST_AUTO_TEST_CASE(falls_back_to_the_ramp_at_whatever_moment_it_turns_cold) {
  // The moments include rounds in which the ramp measures the latency without
  // load.
  for (int Answers = 1900; Answers < 4000; Answers += 7) {
    Admission Gate(32);
    saturate(Gate, FakeTarget{32, 100ms}, Answers);
    std::uint32_t Least = Gate.limit();
    // What was in progress ends, then two samples show the change.
    for (int I = 0; I < 36; ++I) {
      saturate(Gate, FakeTarget{2, 400ms}, 1);
      Least = std::min(Least, Gate.limit());
    }
    BOOST_TEST_REQUIRE(Least == 1u);
    RampSettings Settings;
    BOOST_TEST_REQUIRE(Gate.limit() <=
                       Settings.GrowBelow * (1 + Settings.Growth) * 2);
  }
}

BOOST_AUTO_TEST_CASE(backs_off_when_the_target_bears_less) {
  Admission Gate(32);
  saturate(Gate, FakeTarget{32, 100ms}, 2000);
  BOOST_TEST(Gate.limit() == 32u);
  FakeTarget Slower{8, 100ms};
  saturate(Gate, Slower, 400);
  std::uint32_t Most = 0;
  for (int I = 0; I < 400; ++I) {
    saturate(Gate, Slower, 1);
    Most = std::max(Most, Gate.limit());
  }
  RampSettings Settings;
  BOOST_TEST(Most >= 8u);
  BOOST_TEST(Most <= Settings.GrowBelow * (1 + Settings.Growth) * 8 + 1);
}

BOOST_AUTO_TEST_CASE(stays_at_one_while_the_target_says_that_it_is_cold) {
  Admission Gate(32);
  FakeTarget Target{32, 100ms};
  saturate(Gate, Target, 2000);
  Gate.setCold(true);
  saturate(Gate, Target, 2000);
  BOOST_TEST(Gate.limit() == 1u);
  BOOST_TEST(Gate.inProgress() <= 1u);
  Gate.setCold(false);
  saturate(Gate, Target, 2000);
  BOOST_TEST(Gate.limit() == 32u);
}

BOOST_AUTO_TEST_CASE(comes_back_through_the_ramp) {
  Admission Gate(32);
  saturate(Gate, FakeTarget{32, 100ms}, 2000);
  std::uint32_t Running = Gate.inProgress();
  Gate.setOutOfService(true);
  BOOST_TEST((Gate.tryAdmit(TrafficClass::Interactive) ==
              Admission::Decision::OutOfService));
  Gate.setOutOfService(false);
  BOOST_TEST(Gate.limit() == 1u);
  BOOST_TEST(Gate.inProgress() == Running);
  BOOST_TEST(
      (Gate.tryAdmit(TrafficClass::Interactive) == Admission::Decision::Busy));
}

BOOST_AUTO_TEST_CASE(batch_work_leaves_room_for_higher_classes) {
  Admission Gate(32);
  saturate(Gate, FakeTarget{32, 100ms}, 4000);
  while (Gate.inProgress() > 0)
    Gate.finished(Admission::Outcome::Abandoned, 0ns);
  while (Gate.tryAdmit(TrafficClass::Batch) == Admission::Decision::Admitted)
    ;
  BOOST_TEST(Gate.inProgress() == Gate.limit() - Gate.limit() / 16);
  BOOST_TEST((Gate.tryAdmit(TrafficClass::Interactive) ==
              Admission::Decision::Admitted));
}

BOOST_AUTO_TEST_CASE(stays_at_the_ceiling_when_latencies_vary_by_chance) {
  // Prompts of very different length at a target that bears the ceiling.
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
               constexpr int Every = 200;
               constexpr int Stalled = 60;
               return 2 * Noise(Draw) + (Answer % Every < Stalled ? 12 : 0);
             }) >= 0.95 * 8);
}

BOOST_AUTO_TEST_SUITE_END()
