/// Simulates the distribution of one version over whole fleets and checks the
/// results against targets and against baseline planners.

#include "FleetSimulation.h"

#include <boost/test/unit_test.hpp>

using namespace rosemarylane::swarm::testing;

namespace {

constexpr double TimeTarget = 1.25;
constexpr double FlatnessTarget = 1.15;
constexpr double OriginTarget = 1.1;
constexpr double OriginTargetWithFailures = 2;
constexpr double UploadTarget = 1.1;
constexpr double DuplicateTarget = 0.02;
/// Crashed and silent hosts delay the others by timeouts, not by whole copies.
constexpr double DelayedTimeTarget = 2;
/// One copy for each region, with no allowance for rounding to whole chunks.
constexpr double RegionTarget = 1.0;

FleetResult run(const FleetSettings &Settings) {
  FleetResult Result = simulate(Settings);
  BOOST_TEST_MESSAGE(Settings.Hosts << " hosts: " << toString(Result));
  return Result;
}

FleetSettings fleetOf(std::size_t Hosts) {
  FleetSettings Settings;
  Settings.Hosts = Hosts;
  return Settings;
}

FleetSettings largeFleet() {
  FleetSettings Settings = fleetOf(840);
  Settings.FailureDomains = 19;
  Settings.Regions = 5;
  Settings.Chunks = 256;
  return Settings;
}

void checkTargets(const FleetResult &Result) {
  BOOST_TEST(Result.Complete);
  BOOST_TEST(Result.Max <= TimeTarget);
  BOOST_TEST(Result.OriginCopies <= OriginTarget);
  BOOST_TEST(Result.LargestUpload <= UploadTarget);
  BOOST_TEST(Result.RegionCopies <= RegionTarget);
  BOOST_TEST(Result.DuplicateFraction <= DuplicateTarget);
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet)

BOOST_AUTO_TEST_CASE(time_is_near_one_copy_and_flat) {
  FleetResult Small = run(fleetOf(20));
  checkTargets(Small);
  FleetResult Large = run(fleetOf(160));
  checkTargets(Large);
  BOOST_TEST(Large.Max <= FlatnessTarget * Small.Max);

  FleetSettings Naive = fleetOf(160);
  Naive.PlannerKind = FleetSettings::Planner::OriginOnly;
  FleetResult OriginOnly = run(Naive);
  Naive.PlannerKind = FleetSettings::Planner::FixedTree;
  FleetResult Tree = run(Naive);
  BOOST_TEST(Large.Max < Tree.Max);
  BOOST_TEST(Tree.Max < OriginOnly.Max);
  BOOST_TEST(Large.LargestUpload < Tree.LargestUpload);
}

BOOST_AUTO_TEST_CASE(targets_hold_at_design_size) {
  checkTargets(run(largeFleet()));
}

BOOST_AUTO_TEST_CASE(slow_region_links_carry_one_copy) {
  FleetSettings Settings = fleetOf(60);
  // A copy takes four times as long between regions as over a host's link.
  Settings.RegionRate = 0.25;
  FleetResult Result = run(Settings);
  BOOST_TEST(Result.Complete);
  BOOST_TEST(Result.RegionCopies <= RegionTarget);
  BOOST_TEST(Result.OriginCopies <= OriginTarget);
  BOOST_TEST(Result.Max <= TimeTarget / Settings.RegionRate);
}

BOOST_AUTO_TEST_CASE(crashes_only_delay) {
  FleetSettings Settings = fleetOf(160);
  Settings.CrashingFraction = 0.1;
  FleetResult Result = run(Settings);
  BOOST_TEST(Result.Complete);
  BOOST_TEST(Result.OriginCopies <= OriginTargetWithFailures);
  BOOST_TEST(Result.Max <= DelayedTimeTarget);
}

BOOST_AUTO_TEST_CASE(silent_peers_delay_by_a_timeout) {
  FleetSettings Settings = fleetOf(160);
  Settings.SilentFraction = 0.05;
  FleetResult Result = run(Settings);
  BOOST_TEST(Result.Complete);
  BOOST_TEST(Result.Max <= DelayedTimeTarget);
  BOOST_TEST(Result.OriginCopies <= OriginTargetWithFailures);
}

BOOST_AUTO_TEST_CASE(origin_budget_holds_when_views_differ) {
  FleetSettings Settings = fleetOf(160);
  Settings.FailureDomains = 16;
  Settings.Regions = 4;
  Settings.Partitioned = true;
  // Without the budget, sixteen failure domains that do not see each other
  // would read sixteen copies at once.
  Settings.TimeLimit = 1.5;
  FleetResult Result = run(Settings);
  BOOST_TEST(Result.OriginCopies <= OriginTargetWithFailures);
}

BOOST_AUTO_TEST_SUITE_END()
