/// Replays rollouts of versions that follow each other, with an origin that
/// goes away meanwhile, over fleets of several sizes.

#include "emulator/RolloutModel.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace rosemarylane::emulator;
using std::chrono::milliseconds;

namespace {

/// Time from the naming of the newest version until all hosts hold it, beyond
/// the time in which the origin, its only holder, was away.
constexpr double MaxTime = 1.5;
/// All versions together.
constexpr double MaxOriginCopies = 4;
constexpr double MaxUploadCopiesPerVersion = 2;

/// Hosts with thin links and versions of a few seconds: the fleets whose hosts
/// exchange chunks over HTTP.
FleetSettings thinLinks(std::size_t Hosts, std::size_t Regions,
                        milliseconds CopyTime, std::size_t Chunks) {
  FleetSettings Settings;
  Settings.Hosts = Hosts;
  Settings.FailureDomains = Regions;
  Settings.Regions = Regions;
  Settings.Chunks = Chunks;
  Settings.CopyTime = CopyTime;
  Settings.HoldingsInterval = milliseconds(90);
  Settings.Planning = PlannerSettings::forShortCopies(CopyTime);
  Settings.MaxUploadCopies = MaxUploadCopiesPerVersion;
  Settings.TimeLimit = 20;
  return Settings;
}

/// The origin sends a copy in half of the time that a host's link takes. The
/// second version is named while the first is on its way, and then the origin
/// goes away.
FleetSettings fastOrigin(std::size_t Hosts) {
  FleetSettings Settings = thinLinks(Hosts, 3, milliseconds(2510), 48);
  Settings.OriginRate = 2;
  Settings.RegionRate = 3.5;
  Settings.VersionsNamedAt = {0, 0.8};
  Settings.ActivationDelay = 3.2;
  Settings.OriginDownAt = 1;
  Settings.OriginDownFor = 2.4;
  return Settings;
}

/// The origin is hardly faster than a host's link, so that it goes away before
/// it has sent the first version.
FleetSettings slowOrigin(std::size_t Hosts) {
  FleetSettings Settings = thinLinks(Hosts, 3, milliseconds(3230), 96);
  Settings.OriginRate = 1.25;
  Settings.RegionRate = 3.4;
  Settings.VersionsNamedAt = {0, 0.62};
  Settings.ActivationDelay = 2.5;
  Settings.OriginDownAt = 0.77;
  Settings.OriginDownFor = 1.86;
  return Settings;
}

/// Five regions and an origin that stays.
FleetSettings manyRegions(std::size_t Hosts) {
  FleetSettings Settings = thinLinks(Hosts, 5, milliseconds(3230), 96);
  Settings.OriginRate = 1.25;
  Settings.RegionRate = 4.3;
  Settings.VersionsNamedAt = {0, 1.24};
  Settings.ActivationDelay = 3.1;
  return Settings;
}

FleetResult check(const FleetSettings &Settings) {
  FleetResult Result = simulate(Settings);
  BOOST_TEST_MESSAGE(Settings.Hosts << " hosts: " << toString(Result)
                                    << ", holders of the older version "
                                    << Result.HolderFractions.front());
  double OriginAway = 0;
  if (Settings.OriginDownFor > 0)
    OriginAway =
        Settings.OriginDownAt + Settings.OriginDownFor -
        std::max(Settings.OriginDownAt, Settings.VersionsNamedAt.back());
  double Versions = static_cast<double>(Settings.VersionsNamedAt.size());
  BOOST_TEST(Result.Complete);
  BOOST_TEST(Result.Max <= MaxTime + OriginAway);
  BOOST_TEST(Result.OriginCopies <= MaxOriginCopies);
  BOOST_TEST(Result.LargestUpload <= MaxUploadCopiesPerVersion * Versions);
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(rollout)

// What the origin has sent of the older version is enough: all hosts complete
// it, so that they can serve while the origin is away.
BOOST_AUTO_TEST_CASE(both_versions_arrive_although_the_origin_goes_away) {
  for (std::size_t Hosts : {24, 88}) {
    FleetResult Result = check(fastOrigin(Hosts));
    BOOST_TEST(Result.HolderFractions.front() == 1.0,
               boost::test_tools::tolerance(1e-9));
  }
}

BOOST_AUTO_TEST_CASE(an_older_version_that_cannot_arrive_holds_nothing_up) {
  check(slowOrigin(14));
}

BOOST_AUTO_TEST_CASE(an_older_version_holds_nothing_up_in_large_domains) {
  check(slowOrigin(153));
}

BOOST_AUTO_TEST_CASE(versions_in_a_row_cost_the_same_at_any_size) {
  check(manyRegions(30));
  check(manyRegions(153));
  FleetSettings Largest = manyRegions(840);
  Largest.FailureDomains = 19;
  check(Largest);
}

BOOST_AUTO_TEST_CASE(hosts_that_crash_do_not_hold_up_the_newer_version) {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    FleetSettings Settings = manyRegions(60);
    Settings.CrashingFraction = 0.1;
    Settings.Seed = Seed;
    check(Settings);
  }
}

BOOST_AUTO_TEST_SUITE_END()
