#include "ServingModel.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <iomanip>
#include <sstream>

using namespace rosemarylane::routing;
using namespace rosemarylane::routing::model;

namespace {

constexpr std::uint32_t LoadSeed = 20261204;
/// Upper bound of the 99th percentile of the time to first byte of interactive
/// requests in the retry storm.
constexpr double FirstByteLimitMs = 490;

/// Generates a load with a fixed seed: Poisson arrivals at \p PerSecond,
/// exponentially distributed prompt and answer lengths, one fifth interactive,
/// two fifths standard, and two fifths batch.
std::vector<Arrival> generateLoad(double PerSecond, std::chrono::seconds Length,
                                  std::uint64_t Prefixes) {
  std::mt19937_64 Draw(LoadSeed);
  std::exponential_distribution<double> Gap(PerSecond);
  std::exponential_distribution<double> UnitExponential(1.0);
  std::discrete_distribution<int> Class({20, 40, 40});
  std::vector<Arrival> Load;
  double At = 0;
  while ((At += Gap(Draw)) < static_cast<double>(Length.count())) {
    auto RandomDuration = [&](double MeanMs) {
      return std::chrono::duration_cast<rosemarylane::core::Duration>(
          std::chrono::duration<double, std::milli>(MeanMs *
                                                    UnitExponential(Draw)));
    };
    Arrival Generated;
    Generated.At = std::chrono::duration_cast<rosemarylane::core::Duration>(
        std::chrono::duration<double>(At));
    Generated.Class = static_cast<TrafficClass>(Class(Draw));
    Generated.Prefix = Prefixes > 0 ? 1 + Draw() % Prefixes : 0;
    Generated.Prefill = 20ms + RandomDuration(40);
    Generated.Decode = 40ms + RandomDuration(100);
    Load.push_back(Generated);
  }
  return Load;
}

/// @return the requests per second that the targets sustain without cached
/// prefixes.
double capacity(const Settings &Config) {
  // Mean prefill (20 ms + 40 ms) plus mean decode (40 ms + 100 ms) of
  // `generateLoad`.
  constexpr double MeanServiceSeconds = 0.2;
  return Config.Targets * Config.TargetCapacity / MeanServiceSeconds;
}

std::string summaryLine(const std::string &Name, const Result &Out) {
  std::ostringstream Text;
  Text << std::fixed << std::setprecision(1) << Name << ": answered "
       << Out.answered() << ", refusals " << Out.Refusals << ", retries "
       << Out.Retries << " for " << Out.FirstAttempts << " first attempts, p50 "
       << Out.percentile(0.5) << " ms, p99 " << Out.percentile(0.99)
       << " ms, limits";
  for (std::uint32_t Limit : Out.Limits)
    Text << " " << Limit;
  return Text.str();
}

/// Runs at half of the capacity while \p Callers callers send the same crashing
/// request at once and retry it without delay.
Result runWithCrashingRequests(int Callers) {
  Settings Config;
  Config.CallerTimeout = 3000ms;
  Config.CallersRetry = true;
  Config.MeasureFrom = 10s;
  auto Load = generateLoad(0.5 * capacity(Config), 30s, 0);
  Arrival CrashingRequest;
  CrashingRequest.At = 12s;
  CrashingRequest.Prefix = 77;
  CrashingRequest.CrashesTarget = true;
  auto At = std::find_if(Load.begin(), Load.end(), [&](const Arrival &A) {
    return A.At >= CrashingRequest.At;
  });
  Load.insert(At, Callers, CrashingRequest);
  Result Out = run(Config, Policy::Router, Load);
  BOOST_TEST_MESSAGE(summaryLine("request that crashes targets", Out));
  BOOST_TEST_MESSAGE("deaths " << Out.Deaths << ", offered " << Out.offered()
                               << " with " << Callers << " callers");
  return Out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(router_load)

BOOST_AUTO_TEST_CASE(policies_compared_on_the_same_load) {
  Settings Config;
  Config.Targets = 12;
  Config.CallerTimeout = 2000ms;
  Config.MeasureFrom = 10s;
  // Warm targets with fixed limits, so that the policies differ only in their
  // choice of target.
  Config.Limiter.InitialLimit = Config.Concurrency;
  Config.Limiter.GrowBelowLatencyRatio = 1e9;
  Config.Limiter.RoundsBetweenProbes = 1000000;
  auto Load = generateLoad(0.85 * capacity(Config), 30s, 60);
  Result RoundRobin = run(Config, Policy::RoundRobin, Load);
  Result TwoRandom = run(Config, Policy::TwoRandom, Load);
  Result ByRouter = run(Config, Policy::Router, Load);
  BOOST_TEST_MESSAGE(summaryLine("round robin", RoundRobin));
  BOOST_TEST_MESSAGE(summaryLine("two random choices", TwoRandom));
  BOOST_TEST_MESSAGE(summaryLine("router", ByRouter));
  BOOST_TEST(ByRouter.percentile(0.99) <= RoundRobin.percentile(0.99));
  BOOST_TEST(ByRouter.percentile(0.99) <= TwoRandom.percentile(0.99));
  BOOST_TEST(ByRouter.percentile(0.5) <= TwoRandom.percentile(0.5));
  BOOST_TEST(ByRouter.Refusals <= RoundRobin.Refusals);
  BOOST_TEST(ByRouter.Refusals <= TwoRandom.Refusals);
}

BOOST_AUTO_TEST_CASE(retry_storm_at_four_times_the_capacity) {
  Settings Config;
  Config.CallersRetry = true;
  Config.MeasureFrom = 10s;
  auto Load = generateLoad(4 * capacity(Config), 30s, 0);
  Result Out = run(Config, Policy::Router, Load);
  BOOST_TEST_MESSAGE(summaryLine("retry storm", Out));
  BOOST_TEST_MESSAGE("interactive p99 "
                     << Out.percentile(TrafficClass::Interactive, 0.99)
                     << " ms, answered " << Out.Answered[0] << " of "
                     << Out.Offered[0]);
  // The measured part of the load lasts 20 s: 30 s without 10 s of warm-up.
  double MaxGoodput = capacity(Config) * 20;
  BOOST_TEST_MESSAGE("goodput " << Out.Goodput << " of " << MaxGoodput);
  BOOST_TEST(Out.Goodput >= 0.95 * MaxGoodput);
  BOOST_TEST(Out.percentile(TrafficClass::Interactive, 0.99) <=
             FirstByteLimitMs);
  BOOST_TEST(Out.Retries <= 0.1 * static_cast<double>(Out.FirstAttempts));
  BOOST_TEST(Out.PeakInProgress <= Config.Concurrency);

  // Without admission control the same load misses the bounds on goodput and
  // on interactive latency.
  Config.AdmissionControl = false;
  Result Uncontrolled = run(Config, Policy::TwoRandom, Load);
  BOOST_TEST_MESSAGE(summaryLine("without admission control", Uncontrolled));
  BOOST_TEST_MESSAGE(
      "goodput " << Uncontrolled.Goodput << ", interactive p99 "
                 << Uncontrolled.percentile(TrafficClass::Interactive, 0.99));
  BOOST_TEST(Uncontrolled.Goodput < 0.95 * MaxGoodput);
  BOOST_TEST(Uncontrolled.percentile(TrafficClass::Interactive, 0.99) >
             FirstByteLimitMs);
}

BOOST_AUTO_TEST_CASE(one_request_that_crashes_targets) {
  // The caller retries immediately after each failure, each time through the
  // next entry process.
  Result Out = runWithCrashingRequests(1);
  BOOST_TEST(Out.Deaths <= 2);
  BOOST_TEST(Out.answered() >= 0.99 * (Out.offered() - 1));
}

BOOST_AUTO_TEST_CASE(simultaneous_copies_of_a_crashing_request) {
  // The copies have a common prefix, so the entry processes of a failure domain
  // prefer the same target for them. One target per domain may run a copy
  // before the first death is known; after that, one more runs a copy, alone.
  Result Out = runWithCrashingRequests(8);
  BOOST_TEST(Out.Deaths <= Settings().FailureDomains + 1);
}

BOOST_AUTO_TEST_SUITE_END()
