#include "serving/SectionCopy.h"

#include <boost/test/unit_test.hpp>
#include <charconv>

using namespace rosemarylane;
using namespace rosemarylane::serving;
using std::chrono::milliseconds;

// What a process acts on after the store came back from an older copy.

namespace {

const core::BootTime Start = core::BootTime(std::chrono::hours(1));

core::BootTime at(int Ms) { return Start + milliseconds(Ms); }

/// The number before a slash, as in `12/draining`; other values have no order.
std::optional<std::uint64_t> orderOf(const std::string &,
                                     const std::string &Value) {
  std::uint64_t Place = 0;
  auto Read = std::from_chars(Value.data(), Value.data() + Value.size(), Place);
  if (Read.ec != std::errc())
    return std::nullopt;
  return Place;
}

using Values = std::map<std::string, std::string>;

StoreSection::Items items(const Values &Held, std::int64_t Revision = 1) {
  StoreSection::Items Result;
  for (const auto &[Key, Value] : Held)
    Result[Key] = {Value, Revision};
  return Result;
}

Values valuesOf(const StoreSection::Items &Items) {
  Values Result;
  for (const auto &[Key, Item] : Items)
    Result[Key] = Item.Value;
  return Result;
}

SectionCopy operatorsWith(const Values &Held) {
  SectionCopy Copy(SectionCopy::Missing::Gone, orderOf);
  Copy.adopt(items(Held), {1, 17}, Start, Start);
  return Copy;
}

SectionCopy registryWith(const Values &Held) {
  SectionCopy Copy(SectionCopy::Missing::MayHaveLapsed, orderOf);
  Copy.adopt(items(Held), {1, 17}, Start, Start);
  return Copy;
}

/// A read of the store, sent 10 ms before it arrives.
void read(SectionCopy &Copy, const Values &Held, StorePosition At, int Ms) {
  Copy.adopt(items(Held), At, at(Ms - 10), at(Ms));
  Copy.expire(at(Ms));
}

void check(const SectionCopy &Copy, const Values &Expected) {
  BOOST_TEST((valuesOf(Copy.items()) == Expected));
}

} // namespace

BOOST_AUTO_TEST_SUITE(restored_items)

// Guards against CONFIG: the older copy would put an older configuration into
// force.
BOOST_AUTO_TEST_CASE(a_running_process_never_goes_back) {
  SectionCopy Copy = operatorsWith({{"config", "12"}, {"version", "5"}});
  read(Copy, {{"config", "11"}}, {2, 15}, 2000);
  check(Copy, {{"config", "12"}, {"version", "5"}});
  // Whatever the time; the store has not said anything newer.
  read(Copy, {{"config", "11"}}, {2, 16}, 60'000);
  check(Copy, {{"config", "12"}, {"version", "5"}});
  read(Copy, {{"config", "13"}, {"version", "5"}}, {2, 18}, 61'000);
  check(Copy, {{"config", "13"}, {"version", "5"}});
  BOOST_TEST(Copy.retainedCount() == 0);
}

BOOST_AUTO_TEST_CASE(peers_are_told_what_the_store_holds) {
  SectionCopy Copy = operatorsWith({{"config", "12"}});
  read(Copy, {{"config", "11"}}, {2, 15}, 2000);
  BOOST_TEST((valuesOf(Copy.section().items()) == Values{{"config", "11"}}));
}

BOOST_AUTO_TEST_CASE(a_record_that_cannot_be_read_replaces_none) {
  SectionCopy Copy = operatorsWith({{"config", "12"}});
  read(Copy, {{"config", "torn"}}, {2, 15}, 2000);
  check(Copy, {{"config", "12"}});
}

BOOST_AUTO_TEST_CASE(what_is_retained_stays_through_a_second_restore) {
  SectionCopy Copy = operatorsWith({{"config", "12"}, {"evacuate", "yes"}});
  read(Copy, {{"config", "11"}}, {2, 15}, 2000);
  read(Copy, {{"config", "10"}}, {3, 12}, 4000);
  check(Copy, {{"config", "12"}, {"evacuate", "yes"}});
  read(Copy, {{"config", "10"}}, {3, 12}, 6210);
  check(Copy, {{"config", "12"}});
}

// An evacuation is lost with the restore, and written again two seconds later.
BOOST_AUTO_TEST_CASE(a_lost_evacuation_is_kept_until_it_is_written_again) {
  SectionCopy Copy = operatorsWith({{"evacuate", "yes"}});
  read(Copy, {}, {2, 15}, 2000);
  read(Copy, {}, {2, 15}, 4100);
  check(Copy, {{"evacuate", "yes"}});
  read(Copy, {{"evacuate", "yes"}}, {2, 16}, 4200);
  BOOST_TEST(Copy.retainedCount() == 0);
  read(Copy, {}, {2, 17}, 5000);
  check(Copy, {});
}

BOOST_AUTO_TEST_CASE(a_lost_evacuation_ends_with_the_time_to_write_it_again) {
  SectionCopy Copy = operatorsWith({{"evacuate", "yes"}});
  read(Copy, {}, {2, 15}, 2000);
  // Sent 10 ms before the end of that time.
  read(Copy, {}, {2, 15}, 4200);
  check(Copy, {{"evacuate", "yes"}});
  // Time alone tells nothing while the store is away.
  BOOST_TEST(!Copy.expire(at(9000)));
  BOOST_TEST(Copy.confirm({2, 16}, at(9100)));
  BOOST_TEST(Copy.expire(at(9110)));
  check(Copy, {});
}

// A process that was cut off hears of the new era late; the others know when it
// began.
BOOST_AUTO_TEST_CASE(the_first_sighting_by_anybody_counts) {
  SectionCopy Copy = operatorsWith({{"evacuate", "yes"}});
  Copy.recordEra(2, at(1000));
  read(Copy, {}, {2, 15}, 3300);
  check(Copy, {});
}

BOOST_AUTO_TEST_CASE(an_evacuation_that_came_back_is_obeyed) {
  SectionCopy Copy = operatorsWith({});
  read(Copy, {{"evacuate", "yes"}}, {2, 15}, 2000);
  check(Copy, {{"evacuate", "yes"}});
  read(Copy, {}, {2, 16}, 3000);
  check(Copy, {});
}

// Targets that registered after the copy was made are missing until they do so
// again; the store needn't have been away for long.
BOOST_AUTO_TEST_CASE(entries_that_the_older_copy_lacks_are_kept_for_a_while) {
  SectionCopy Copy = registryWith({{"a", "100/ready"}, {"b", "100/ready"}});
  read(Copy, {{"a", "100/ready"}}, {2, 15}, 700);
  check(Copy, {{"a", "100/ready"}, {"b", "100/ready"}});
  read(Copy, {{"a", "100/ready"}}, {2, 16}, 2890);
  check(Copy, {{"a", "100/ready"}, {"b", "100/ready"}});
  read(Copy, {{"a", "100/ready"}}, {2, 17}, 3000);
  check(Copy, {{"a", "100/ready"}});
}

BOOST_AUTO_TEST_CASE(a_process_that_hears_late_of_a_restore_retains_nothing) {
  SectionCopy Copy = registryWith({{"a", "100/ready"}});
  Copy.recordEra(2, at(5000));
  read(Copy, {}, {2, 15}, 9000);
  check(Copy, {});
}

// Guards against DRAIN and HOME: a target that left was back with the older
// copy, and was sent requests.
BOOST_AUTO_TEST_CASE(an_entry_that_had_vanished_is_held_back) {
  SectionCopy Copy = registryWith({{"a", "100/ready"}});
  read(Copy, {}, {1, 18}, 900);
  read(Copy, {{"a", "100/draining"}}, {2, 15}, 2000);
  check(Copy, {});
  BOOST_TEST(Copy.heldBackCount() == 1);
  read(Copy, {{"a", "100/draining"}}, {2, 16}, 4900);
  check(Copy, {});
  read(Copy, {}, {2, 17}, 5100);
  check(Copy, {});
  BOOST_TEST(Copy.heldBackCount() == 0);
}

BOOST_AUTO_TEST_CASE(a_held_back_entry_that_somebody_keeps_is_usable) {
  SectionCopy Copy = registryWith({{"a", "100/ready"}});
  read(Copy, {}, {1, 18}, 900);
  read(Copy, {{"a", "100/ready"}}, {2, 15}, 2000);
  read(Copy, {{"a", "100/ready"}}, {2, 16}, 5000);
  check(Copy, {});
  read(Copy, {{"a", "100/ready"}}, {2, 17}, 5010);
  check(Copy, {{"a", "100/ready"}});
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_is_usable_at_once) {
  SectionCopy Copy = registryWith({{"a", "100/ready"}});
  read(Copy, {}, {1, 18}, 900);
  read(Copy, {{"a", "100/ready"}}, {2, 15}, 2000);
  read(Copy, {{"a", "200/ready"}}, {2, 16}, 2900);
  check(Copy, {{"a", "200/ready"}});
}

BOOST_AUTO_TEST_CASE(an_earlier_incarnation_does_not_replace_a_later_one) {
  SectionCopy Copy = registryWith({{"a", "100/ready"}});
  read(Copy, {{"a", "200/ready"}}, {1, 18}, 900);
  read(Copy, {{"a", "100/ready"}}, {2, 15}, 2000);
  check(Copy, {{"a", "200/ready"}});
  read(Copy, {{"a", "200/ready"}}, {2, 16}, 2900);
  check(Copy, {{"a", "200/ready"}});
  BOOST_TEST(Copy.retainedCount() == 0);
  BOOST_TEST(Copy.heldBackCount() == 0);
}

// Leases ended with an outage, and the copy still has them: those targets live.
BOOST_AUTO_TEST_CASE(an_entry_that_is_retained_is_not_held_back) {
  SectionCopy Copy = registryWith({{"a", "100/ready"}});
  for (int Ms = 500; Ms <= 4500; Ms += 500)
    Copy.outage().recordReadFailure(at(Ms));
  read(Copy, {}, {1, 18}, 5000);
  check(Copy, {{"a", "100/ready"}});
  read(Copy, {{"a", "100/ready"}}, {2, 15}, 5500);
  check(Copy, {{"a", "100/ready"}});
}

BOOST_AUTO_TEST_CASE(an_entry_that_was_held_back_is_so_after_two_restores) {
  SectionCopy Copy = registryWith({{"a", "100/ready"}});
  read(Copy, {}, {1, 18}, 900);
  read(Copy, {{"a", "100/ready"}}, {2, 15}, 1000);
  read(Copy, {{"a", "100/ready"}, {"b", "100/ready"}}, {2, 16}, 1900);
  read(Copy, {{"b", "100/ready"}}, {3, 14}, 2800);
  read(Copy, {{"a", "100/ready"}, {"b", "100/ready"}}, {4, 13}, 3700);
  check(Copy, {{"b", "100/ready"}});
}

// The store is away while an entry is held back, and its lease ends.
BOOST_AUTO_TEST_CASE(an_entry_that_is_held_back_is_not_retained_either) {
  SectionCopy Copy = registryWith({{"a", "100/ready"}});
  read(Copy, {}, {1, 18}, 900);
  read(Copy, {{"a", "100/ready"}}, {2, 15}, 1000);
  for (int Ms = 1500; Ms <= 3500; Ms += 500)
    Copy.outage().recordReadFailure(at(Ms));
  read(Copy, {}, {2, 16}, 3600);
  check(Copy, {});
}

BOOST_AUTO_TEST_CASE(an_entry_that_registered_again_is_not_held_back) {
  SectionCopy Copy = registryWith({{"a", "100/ready"}});
  read(Copy, {}, {1, 18}, 900);
  read(Copy, {{"a", "100/ready"}}, {1, 19}, 1800);
  read(Copy, {{"a", "100/ready"}}, {2, 15}, 2700);
  check(Copy, {{"a", "100/ready"}});
}

// The second copy is older than the first.
BOOST_AUTO_TEST_CASE(an_entry_that_a_restore_took_away_is_held_back_later) {
  SectionCopy Copy = registryWith({{"a", "100/ready"}});
  read(Copy, {}, {2, 15}, 1000);
  read(Copy, {}, {2, 16}, 3300);
  check(Copy, {});
  read(Copy, {{"a", "100/ready"}}, {3, 14}, 5000);
  check(Copy, {});
}

// A peer's copy of the same items in a later era: nobody retains less for it.
BOOST_AUTO_TEST_CASE(an_era_taken_over_from_a_peer_keeps_what_is_retained) {
  SectionCopy Copy = operatorsWith({{"config", "12"}, {"evacuate", "yes"}});
  read(Copy, {{"config", "11"}}, {2, 15}, 2000);
  SectionCopy Peer = operatorsWith({{"config", "11"}});
  read(Peer, {{"config", "11"}}, {3, 14}, 4000);
  Copy.compareAndConfirm(Peer.summary(at(4100)), at(4050), at(4110));
  BOOST_TEST((Copy.section().at() == StorePosition{3, 14}));
  check(Copy, {{"config", "12"}, {"evacuate", "yes"}});
  Copy.compareAndConfirm(Peer.summary(at(6000)), at(6000), at(6000));
  read(Copy, {{"config", "11"}}, {3, 15}, 6211);
  check(Copy, {{"config", "12"}});
}

// Guards against CONFIG (keys): a key is taken away, the store loses that, and
// a process that never heard of it reads the older copy.
BOOST_AUTO_TEST_CASE(a_read_soon_after_a_restore_proves_nothing) {
  SectionCopy Copy = operatorsWith({{"config", "12"}});
  Copy.recordEra(1, at(-5000));
  BOOST_TEST(Copy.proofAge(at(500))->count() == 500);
  read(Copy, {{"config", "12"}}, {2, 15}, 2000);
  BOOST_TEST(Copy.proofAge(at(2000))->count() == 2000);
  BOOST_TEST(Copy.section().staleness(at(2000))->count() == 10);
  // Sent 10 ms before the end of the time to write again.
  read(Copy, {{"config", "12"}}, {2, 15}, 4200);
  BOOST_TEST(Copy.proofAge(at(4200))->count() == 4200);
  BOOST_TEST(Copy.confirm({2, 15}, at(4200)));
  BOOST_TEST(Copy.proofAge(at(4210))->count() == 10);
  // The next restore before that time is over.
  read(Copy, {{"config", "12"}}, {3, 15}, 5000);
  read(Copy, {{"config", "12"}}, {4, 15}, 6000);
  BOOST_TEST(Copy.proofAge(at(6000))->count() == 1800);
}

BOOST_AUTO_TEST_CASE(
    a_process_that_has_just_started_waits_for_its_first_proof) {
  SectionCopy Copy(SectionCopy::Missing::Gone, orderOf);
  read(Copy, {{"config", "12"}}, {7, 15}, 0);
  BOOST_TEST(!Copy.proofAge(at(100)));
  // A peer has known this era for long.
  SectionCopy Peer(SectionCopy::Missing::Gone, orderOf);
  read(Peer, {{"config", "12"}}, {7, 15}, -60'000);
  Copy.compareAndConfirm(Peer.summary(at(100)), at(90), at(110));
  BOOST_TEST(Copy.proofAge(at(110))->count() == 120);
}

BOOST_AUTO_TEST_CASE(a_store_that_tells_no_era_proves_at_once) {
  SectionCopy Copy(SectionCopy::Missing::Gone, orderOf);
  read(Copy, {{"config", "12"}}, {0, 15}, 100);
  BOOST_TEST(Copy.proofAge(at(100))->count() == 10);
}

// Guards against VERSION: a version that the store lost is written again, and
// its countdown would begin anew.
BOOST_AUTO_TEST_CASE(a_version_that_is_named_again_was_named_before) {
  SectionCopy Copy = operatorsWith({{"version", "4"}});
  read(Copy, {{"version", "5"}}, {1, 18}, 900);
  BOOST_TEST((Copy.items().at("version").ChangedAfter == Start));
  read(Copy, {{"version", "4"}}, {2, 15}, 2000);
  BOOST_TEST((Copy.items().at("version").ChangedAfter == Start));
  read(Copy, {{"version", "4"}}, {2, 16}, 2900);
  Copy.adopt({{"version", {"5", 17}}}, {2, 17}, at(3800), at(3800));
  BOOST_TEST(Copy.retainedCount() == 0);
  BOOST_TEST((Copy.items().at("version").ChangedAfter == Start));
  BOOST_TEST((Copy.section().items().at("version").ChangedAfter == Start));
  // Once more, at a later revision of the same era.
  Copy.adopt({{"version", {"5", 18}}}, {2, 18}, at(4700), at(4700));
  BOOST_TEST((Copy.items().at("version").ChangedAfter == Start));
  Copy.adopt({{"version", {"6", 19}}}, {2, 19}, at(5600), at(5600));
  BOOST_TEST((Copy.items().at("version").ChangedAfter == at(4700)));
}

BOOST_AUTO_TEST_CASE(an_outage_after_the_restore_puts_no_version_off) {
  SectionCopy Copy = operatorsWith({{"version", "5"}});
  read(Copy, {}, {2, 15}, 900);
  for (int Ms = 1000; Ms <= 5000; Ms += 500)
    Copy.outage().recordReadFailure(at(Ms));
  Copy.adopt(items({{"version", "5"}}, 16), {2, 16}, at(5100), at(5100));
  BOOST_TEST(!Copy.items().at("version").ChangedAfter);
}

// The older copy had the version, and lost it to the next restore.
BOOST_AUTO_TEST_CASE(an_era_taken_over_from_a_peer_puts_no_version_off) {
  SectionCopy Copy = operatorsWith({{"version", "4"}});
  read(Copy, {{"version", "5"}}, {1, 18}, 900);
  SectionCopy Peer = operatorsWith({{"version", "4"}});
  read(Peer, {}, {2, 14}, 2000);
  read(Peer, {{"version", "5"}}, {2, 15}, 2900);
  Copy.compareAndConfirm(Peer.summary(at(3000)), at(2990), at(3010));
  BOOST_TEST((Copy.section().at() == StorePosition{2, 15}));
  auto Theirs = Peer.section().items();
  BOOST_TEST((Theirs.at("version").ChangedAfter == at(1990)));
  Copy.adopt(Theirs, {2, 16}, at(3900), at(3900));
  BOOST_TEST((Copy.items().at("version").ChangedAfter == Start));
}

// Guards against VERSION: a process that knew version 5 sees 4 come back, and
// takes it for a change after its last confirmation of 5.
BOOST_AUTO_TEST_CASE(a_peer_that_saw_a_version_come_back_does_not_put_it_off) {
  SectionCopy Copy = operatorsWith({{"version", "3"}});
  read(Copy, {{"version", "4"}}, {1, 18}, 900);
  Copy.confirm({1, 18}, at(1900));
  StoreSection::Items Theirs = items({{"version", "4"}}, 17);
  Theirs.at("version").ChangedAfter = at(1800);
  Copy.adopt(Theirs, {2, 17}, at(3800), at(3900));
  BOOST_TEST((Copy.items().at("version").ChangedAfter == Start));
}

// A peer that was cut off at the first naming knows only of the second one.
BOOST_AUTO_TEST_CASE(a_peer_that_missed_the_naming_does_not_put_it_off) {
  SectionCopy Copy = operatorsWith({{"version", "4"}});
  read(Copy, {{"version", "5"}}, {1, 18}, 900);
  read(Copy, {{"version", "4"}}, {2, 15}, 2000);
  StoreSection::Items Theirs = items({{"version", "5"}}, 17);
  Theirs.at("version").ChangedAfter = at(2900);
  Copy.adopt(Theirs, {2, 17}, at(3800), at(3900));
  BOOST_TEST((Copy.items().at("version").ChangedAfter == Start));
  // One that knows better of the first naming is believed.
  Theirs.at("version").ChangedAfter = at(700);
  Copy.adopt(Theirs, {2, 18}, at(3900), at(4000));
  BOOST_TEST((Copy.items().at("version").ChangedAfter == at(700)));
}

BOOST_AUTO_TEST_CASE(the_age_of_a_sighting_is_never_overstated) {
  EraSightings Sightings;
  Sightings.record(2, at(1000), /*InUse=*/1);
  Sightings.record(2, at(1500), /*InUse=*/1);
  BOOST_TEST((Sightings.firstSeen(2) == at(1000)));
  auto Now = at(2000) + std::chrono::microseconds(700);
  BOOST_TEST(Sightings.age(2, Now)->count() == 1000);
  BOOST_TEST(!Sightings.age(3, Now));
  BOOST_TEST(!Sightings.isRewritten(2, at(3199)));
  BOOST_TEST(Sightings.isRewritten(2, at(3200)));
  BOOST_TEST(!Sightings.isRewritten(3, at(9000)));
  BOOST_TEST(Sightings.isRewritten(0, at(0)));
}

BOOST_AUTO_TEST_SUITE_END()
