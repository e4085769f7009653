/// Simulates the distribution of one version over whole fleets and checks the
/// results against limits and against baseline planners.

#include "emulator/RolloutModel.h"

#include <boost/test/unit_test.hpp>

using namespace rosemarylane::emulator;

namespace {

// Limits for `FleetResult`, in its units: times in copy times, the transfer
// time of one copy over a host's link; amounts of data in copies.
constexpr double MaxTime = 1.25;
/// Maximum ratio of a large fleet's time to a small fleet's.
constexpr double MaxTimeRatio = 1.15;
constexpr double MaxOriginCopies = 1.1;
constexpr double MaxOriginCopiesWithFailures = 2;
constexpr double MaxUploadCopies = 1.1;
constexpr double MaxDuplicateFraction = 0.02;
/// Crashed and silent hosts delay the others by timeouts, not by whole copies.
constexpr double MaxTimeWithFailures = 2;
/// One copy for each region, with no allowance for rounding to whole chunks.
constexpr double MaxRegionCopies = 1.0;

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

void checkLimits(const FleetResult &Result) {
  BOOST_TEST(Result.Complete);
  BOOST_TEST(Result.Max <= MaxTime);
  BOOST_TEST(Result.OriginCopies <= MaxOriginCopies);
  BOOST_TEST(Result.LargestUpload <= MaxUploadCopies);
  BOOST_TEST(Result.RegionCopies <= MaxRegionCopies);
  BOOST_TEST(Result.DuplicateFraction <= MaxDuplicateFraction);
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet)

BOOST_AUTO_TEST_CASE(time_is_near_one_copy_for_any_fleet_size) {
  FleetResult Small = run(fleetOf(20));
  checkLimits(Small);
  FleetResult Large = run(fleetOf(160));
  checkLimits(Large);
  BOOST_TEST(Large.Max <= MaxTimeRatio * Small.Max);

  FleetSettings Baseline = fleetOf(160);
  Baseline.PlannerKind = FleetSettings::Planner::OriginOnly;
  FleetResult OriginOnly = run(Baseline);
  Baseline.PlannerKind = FleetSettings::Planner::FixedTree;
  FleetResult Tree = run(Baseline);
  BOOST_TEST(Large.Max < Tree.Max);
  BOOST_TEST(Tree.Max < OriginOnly.Max);
  BOOST_TEST(Large.LargestUpload < Tree.LargestUpload);
}

BOOST_AUTO_TEST_CASE(limits_hold_for_840_hosts) {
  checkLimits(run(largeFleet()));
}

BOOST_AUTO_TEST_CASE(slow_region_links_carry_one_copy) {
  FleetSettings Settings = fleetOf(60);
  // A copy takes four times as long between regions as over a host's link.
  Settings.RegionRate = 0.25;
  FleetResult Result = run(Settings);
  BOOST_TEST(Result.Complete);
  BOOST_TEST(Result.RegionCopies <= MaxRegionCopies);
  BOOST_TEST(Result.OriginCopies <= MaxOriginCopies);
  BOOST_TEST(Result.Max <= MaxTime / Settings.RegionRate);
}

BOOST_AUTO_TEST_CASE(crashes_only_delay) {
  FleetSettings Settings = fleetOf(160);
  Settings.CrashingFraction = 0.1;
  FleetResult Result = run(Settings);
  BOOST_TEST(Result.Complete);
  BOOST_TEST(Result.OriginCopies <= MaxOriginCopiesWithFailures);
  BOOST_TEST(Result.Max <= MaxTimeWithFailures);
}

BOOST_AUTO_TEST_CASE(silent_peers_delay_by_a_timeout) {
  FleetSettings Settings = fleetOf(160);
  Settings.SilentFraction = 0.05;
  FleetResult Result = run(Settings);
  BOOST_TEST(Result.Complete);
  BOOST_TEST(Result.Max <= MaxTimeWithFailures);
  BOOST_TEST(Result.OriginCopies <= MaxOriginCopiesWithFailures);
}

BOOST_AUTO_TEST_CASE(origin_budget_holds_when_views_differ) {
  FleetSettings Settings = fleetOf(160);
  Settings.FailureDomains = 16;
  Settings.Regions = 4;
  Settings.Partitioned = true;
  // Failure domains that do not see each other each read a copy of their own in
  // the end; the budget limits how much they have read by the time limit.
  // Without it, the sixteen domains would read sixteen copies at once.
  Settings.TimeLimit = 1.5;
  FleetResult Result = run(Settings);
  BOOST_TEST(Result.OriginCopies <= MaxOriginCopiesWithFailures);
}

BOOST_AUTO_TEST_SUITE_END()
