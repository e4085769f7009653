#include "serving/VersionPlan.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace rosemarylane::serving;
using rosemarylane::core::BootTime;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds ActivationDelay{8000};
const BootTime Start = BootTime(std::chrono::seconds(1000));
/// When a second version is named soon after the first.
const BootTime SecondNamedAt = Start + milliseconds(2000);
const VersionPlan::Settings Config{ActivationDelay,
                                   std::chrono::duration<double>(3.2)};

/// @return a version named at \p NamedAt of which \p Held of 96 chunks are
/// present, the newest since \p LastChunkAt.
KnownVersion version(std::uint64_t Number, BootTime NamedAt, std::size_t Held,
                     BootTime LastChunkAt) {
  KnownVersion Result;
  Result.Number = Number;
  Result.NamedAt = NamedAt;
  Result.LearntAt = NamedAt + milliseconds(100);
  Result.Held = Held;
  Result.Chunks = 96;
  Result.LastChunkAt = LastChunkAt;
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(version_plan)

BOOST_AUTO_TEST_CASE(switches_are_spread_and_end_before_the_version_is_due) {
  BootTime Last = Start;
  for (std::size_t Rank = 0; Rank < 15; ++Rank) {
    KnownVersion V = version(2, Start, 96, Start + milliseconds(3600));
    V.Rank = Rank;
    V.SwitchingTargets = 15;
    VersionPlan Plan(Config, 1, {V});
    auto Next = Plan.plannedLoad(Start + milliseconds(3700)).NextAt;
    BOOST_REQUIRE(Next.has_value());
    BOOST_TEST((*Next > Last));
    BOOST_TEST((*Next < Start + ActivationDelay));
    BOOST_TEST(Plan.plannedLoad(*Next).Now == 2u);
    Last = *Next;
  }
}

// Guards against simultaneous switches. When the weights arrived after the
// first planned switch times, seven of fifteen targets switched within half a
// second.
BOOST_AUTO_TEST_CASE(missed_switch_times_are_spread_again) {
  BootTime CompleteAt = Start + milliseconds(5200);
  std::vector<BootTime> SwitchTimes;
  for (std::size_t Rank = 0; Rank < 15; ++Rank) {
    KnownVersion V = version(2, Start, 96, CompleteAt);
    V.Rank = Rank;
    V.SwitchingTargets = 15;
    VersionPlan::LoadPlan LoadPlan =
        VersionPlan(Config, 1, {V}).plannedLoad(CompleteAt);
    SwitchTimes.push_back(LoadPlan.NextAt.value_or(CompleteAt));
  }
  for (std::size_t I = 1; I < SwitchTimes.size(); ++I)
    BOOST_TEST((SwitchTimes[I] - SwitchTimes[I - 1] >= milliseconds(100)));
  BOOST_TEST((SwitchTimes.back() < Start + ActivationDelay));
}

// Guards against lost capacity when the origin fails shortly before a version
// is complete: targets stopped serving at their planned switch times although
// they could not switch.
BOOST_AUTO_TEST_CASE(a_target_keeps_serving_while_it_cannot_switch) {
  KnownVersion V = version(2, Start, 80, Start + milliseconds(2500));
  VersionPlan Plan(Config, 1, {V});
  for (int Ms = 3000; Ms < 8000; Ms += 250) {
    VersionPlan::LoadPlan LoadPlan = Plan.plannedLoad(Start + milliseconds(Ms));
    BOOST_TEST(LoadPlan.Now == 0u);
    BOOST_TEST(!LoadPlan.NextAt.has_value());
  }
}

BOOST_AUTO_TEST_CASE(
    a_switch_is_not_announced_before_the_version_can_be_complete) {
  BootTime Now = Start + milliseconds(5000);
  KnownVersion V = version(2, Start, 72, Now);
  auto Next = VersionPlan(Config, 1, {V}).plannedLoad(Now).NextAt;
  BOOST_REQUIRE(Next.has_value());
  // A quarter of the weights is missing.
  BOOST_TEST((*Next >= Now + milliseconds(800)));
}

BOOST_AUTO_TEST_CASE(a_target_without_weights_loads_at_once) {
  KnownVersion V = version(2, Start, 96, Start + milliseconds(2600));
  V.Rank = 14;
  V.SwitchingTargets = 15;
  VersionPlan Plan(Config, 0, {V});
  BOOST_TEST(Plan.plannedLoad(Start + milliseconds(2600)).Now == 2u);
  BOOST_TEST(Plan.cannotServe(Start));
}

BOOST_AUTO_TEST_CASE(a_version_completed_after_its_deadline_is_loaded_at_once) {
  BootTime CompleteAt = Start + milliseconds(9000);
  KnownVersion V = version(2, Start, 96, CompleteAt);
  V.Rank = 14;
  V.SwitchingTargets = 15;
  VersionPlan Plan(Config, 1, {V});
  BOOST_TEST(Plan.plannedLoad(CompleteAt).Now == 2u);
  BOOST_TEST(Plan.cannotServe(Start + ActivationDelay));
  BOOST_TEST(!Plan.cannotServe(Start + ActivationDelay - milliseconds(1)));
}

// The older version is finished beside the newest one, never before it.
BOOST_AUTO_TEST_CASE(the_older_version_is_finished_only_if_it_can_still_serve) {
  KnownVersion Older = version(2, Start, 80, SecondNamedAt);
  KnownVersion Newer = version(3, SecondNamedAt, 0, BootTime());
  VersionPlan Plan(Config, 1, {Older, Newer});
  BOOST_TEST(Plan.versionsToFetch(SecondNamedAt + milliseconds(300)) ==
             (std::vector<std::uint64_t>{3, 2}));
  Older.LastChunkAt = SecondNamedAt + milliseconds(5700);
  BOOST_TEST(VersionPlan(Config, 1, {Older, Newer})
                 .versionsToFetch(SecondNamedAt + milliseconds(5700)) ==
             std::vector<std::uint64_t>{3});
}

// Guards against a rollout that waits for chunks that never come. The origin
// failed with seven chunks unread, and the next version waited for them until
// five of its eight seconds had passed.
BOOST_AUTO_TEST_CASE(a_superseded_version_whose_chunks_stop_is_given_up) {
  BootTime LastChunkAt = SecondNamedAt + milliseconds(500);
  KnownVersion Older = version(2, Start, 89, LastChunkAt);
  KnownVersion Newer = version(3, SecondNamedAt, 0, BootTime());
  VersionPlan Plan(Config, 1, {Older, Newer});
  BOOST_TEST(Plan.versionsToFetch(LastChunkAt + milliseconds(900)) ==
             (std::vector<std::uint64_t>{3, 2}));
  BOOST_TEST(Plan.versionsToFetch(LastChunkAt + milliseconds(1100)) ==
             std::vector<std::uint64_t>{3});
}

BOOST_AUTO_TEST_CASE(of_versions_named_together_only_the_newest_is_fetched) {
  KnownVersion Older = version(2, Start, 10, Start);
  KnownVersion Newer = version(3, Start + milliseconds(400), 0, BootTime());
  VersionPlan Plan(Config, 1, {Older, Newer});
  BOOST_TEST(Plan.versionsToFetch(Start + milliseconds(600)) ==
             std::vector<std::uint64_t>{3});
}

// Each load takes a target out of service for a while, so none is made for a
// version that a newer one replaces in time.
BOOST_AUTO_TEST_CASE(
    a_version_is_skipped_if_a_newer_one_will_be_loaded_in_time) {
  KnownVersion Older = version(2, Start, 96, Start + milliseconds(3000));
  BootTime NewerCompleteAt = Start + milliseconds(5500);
  KnownVersion Newer = version(3, SecondNamedAt, 96, NewerCompleteAt);
  BOOST_TEST(
      VersionPlan(Config, 1, {Older, Newer}).plannedLoad(NewerCompleteAt).Now ==
      3u);
  // Guards against a target that has neither version in time: chunks of the
  // newer one arrived more slowly than the link allows, and the target was
  // without a usable version for 1.6 s.
  Newer.Held = 90;
  BOOST_TEST(
      VersionPlan(Config, 1, {Older, Newer}).plannedLoad(NewerCompleteAt).Now ==
      2u);
}

BOOST_AUTO_TEST_CASE(a_version_that_is_superseded_in_force_is_not_loaded) {
  KnownVersion Older = version(2, Start, 96, Start + milliseconds(3000));
  KnownVersion Newer = version(3, SecondNamedAt, 0, BootTime());
  VersionPlan Plan(Config, 1, {Older, Newer});
  BootTime NewerInForceAt = SecondNamedAt + ActivationDelay;
  BOOST_TEST(Plan.plannedLoad(NewerInForceAt - milliseconds(1)).Now == 2u);
  BOOST_TEST(Plan.plannedLoad(NewerInForceAt).Now == 0u);
}

// The loaded version goes out of use when the first newer one takes effect,
// not the one that the target switches to.
BOOST_AUTO_TEST_CASE(switches_end_before_the_loaded_version_goes_out_of_use) {
  KnownVersion Older = version(2, Start, 40, Start + milliseconds(2000));
  std::vector<BootTime> SwitchTimes;
  BootTime CompleteAt = Start + milliseconds(5000);
  for (std::size_t Rank = 0; Rank < 15; ++Rank) {
    KnownVersion Newer = version(3, SecondNamedAt, 96, CompleteAt);
    Newer.Rank = Rank;
    Newer.SwitchingTargets = 15;
    SwitchTimes.push_back(VersionPlan(Config, 1, {Older, Newer})
                              .plannedLoad(CompleteAt)
                              .NextAt.value_or(CompleteAt));
  }
  for (std::size_t I = 1; I < SwitchTimes.size(); ++I)
    BOOST_TEST((SwitchTimes[I] - SwitchTimes[I - 1] >= milliseconds(100)));
  BOOST_TEST((SwitchTimes.back() < Start + ActivationDelay));
}

BOOST_AUTO_TEST_CASE(a_version_is_late_if_the_usual_rate_misses_its_time) {
  // Half of the weights are missing: 1.6 s.
  KnownVersion V = version(2, Start, 48, Start + milliseconds(6300));
  VersionPlan Plan(Config, 1, {V});
  BOOST_TEST(!Plan.isLate(Start + milliseconds(6300)));
  BOOST_TEST(Plan.isLate(Start + milliseconds(6500)));
  // A complete older version may be used until the newer one takes effect.
  KnownVersion Older = version(2, Start, 96, Start + milliseconds(3000));
  KnownVersion Newer =
      version(3, SecondNamedAt, 48, Start + milliseconds(6300));
  BOOST_TEST(!VersionPlan(Config, 1, {Older, Newer})
                  .isLate(Start + milliseconds(6500)));
}

BOOST_AUTO_TEST_CASE(nothing_is_fetched_before_the_manifest_is_known) {
  KnownVersion V = version(2, Start, 0, BootTime());
  V.Chunks = 0;
  VersionPlan Plan(Config, 1, {V});
  BOOST_TEST(Plan.versionsToFetch(Start).empty());
  BOOST_TEST(Plan.plannedLoad(Start).Now == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
