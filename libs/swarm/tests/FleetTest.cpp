/// Drives the swarm planner of whole fleets in simulated time, and holds the
/// results against the targets and against naive planners.

#include "FleetSimulation.h"

#include <boost/test/unit_test.hpp>

using namespace rosemarylane::swarm::testing;

namespace {

constexpr double TimeTarget = 1.25;
constexpr double FlatnessTarget = 1.15;
constexpr double OriginTarget = 1.1;
constexpr double OriginTargetWithDeaths = 2;
constexpr double UploadTarget = 1.1;
constexpr double DuplicateTarget = 0.02;
/// A death or a silent host delays by timeouts, not by copies.
constexpr double DelayedTimeTarget = 2;
/// One copy for each region, whatever the rounding to chunks.
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
  BOOST_TEST(Result.All <= TimeTarget);
  BOOST_TEST(Result.OriginCopies <= OriginTarget);
  BOOST_TEST(Result.LargestUpload <= UploadTarget);
  BOOST_TEST(Result.RegionCopies <= RegionTarget);
  BOOST_TEST(Result.DuplicatePart <= DuplicateTarget);
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet)

BOOST_AUTO_TEST_CASE(time_is_near_one_copy_and_flat) {
  FleetResult Small = run(fleetOf(20));
  checkTargets(Small);
  FleetResult Large = run(fleetOf(160));
  checkTargets(Large);
  BOOST_TEST(Large.All <= FlatnessTarget * Small.All);

  FleetSettings Naive = fleetOf(160);
  Naive.How = FleetSettings::Planner::OriginOnly;
  FleetResult OriginOnly = run(Naive);
  Naive.How = FleetSettings::Planner::FixedTree;
  FleetResult Tree = run(Naive);
  BOOST_TEST(Large.All < Tree.All);
  BOOST_TEST(Tree.All < OriginOnly.All);
  BOOST_TEST(Large.LargestUpload < Tree.LargestUpload);
}

BOOST_AUTO_TEST_CASE(targets_hold_at_design_size) {
  checkTargets(run(largeFleet()));
}

BOOST_AUTO_TEST_CASE(thin_links_are_crossed_once) {
  FleetSettings Settings = fleetOf(60);
  // A copy takes four times as long between regions as over a host's link.
  Settings.RegionRate = 0.25;
  FleetResult Result = run(Settings);
  BOOST_TEST(Result.Complete);
  BOOST_TEST(Result.RegionCopies <= RegionTarget);
  BOOST_TEST(Result.OriginCopies <= OriginTarget);
  BOOST_TEST(Result.All <= TimeTarget / Settings.RegionRate);
}

BOOST_AUTO_TEST_CASE(deaths_only_delay) {
  FleetSettings Settings = fleetOf(160);
  Settings.DyingPart = 0.1;
  FleetResult Result = run(Settings);
  BOOST_TEST(Result.Complete);
  BOOST_TEST(Result.OriginCopies <= OriginTargetWithDeaths);
  BOOST_TEST(Result.All <= DelayedTimeTarget);
}

BOOST_AUTO_TEST_CASE(silent_peers_cost_a_timeout) {
  FleetSettings Settings = fleetOf(160);
  Settings.SilentPart = 0.05;
  FleetResult Result = run(Settings);
  BOOST_TEST(Result.Complete);
  BOOST_TEST(Result.All <= DelayedTimeTarget);
  BOOST_TEST(Result.OriginCopies <= OriginTargetWithDeaths);
}

BOOST_AUTO_TEST_CASE(origin_budget_holds_when_views_differ) {
  FleetSettings Settings = fleetOf(160);
  Settings.FailureDomains = 16;
  Settings.Regions = 4;
  Settings.Partitioned = true;
  // Sixteen hosts' views that know nothing of each other would draw sixteen
  // copies at once.
  Settings.Limit = 1.5;
  FleetResult Result = run(Settings);
  BOOST_TEST(Result.OriginCopies <= OriginTargetWithDeaths);
}

BOOST_AUTO_TEST_SUITE_END()
