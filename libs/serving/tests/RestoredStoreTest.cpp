#include "serving/SectionCopy.h"

#include <boost/test/unit_test.hpp>

using namespace rosemarylane;
using namespace rosemarylane::serving;
using std::chrono::milliseconds;

namespace {

const core::BootTime Start = core::BootTime(std::chrono::hours(1));

core::BootTime at(int Ms) { return Start + milliseconds(Ms); }

StoreSection::Items config(const std::string &Value, std::int64_t Revision) {
  return {{"config", {Value, Revision}}};
}

StoreSection sectionWith(const std::string &Value, std::int64_t Revision,
                         StorePosition At) {
  StoreSection Result;
  Result.adopt(config(Value, Revision), At, Start);
  return Result;
}

using Comparison = StoreSection::Comparison;

} // namespace

BOOST_AUTO_TEST_SUITE(restored_store)

BOOST_AUTO_TEST_CASE(positions_are_ordered_by_era_and_then_by_revision) {
  BOOST_TEST((StorePosition{1, 17} < StorePosition{2, 16}));
  BOOST_TEST((StorePosition{2, 16} < StorePosition{2, 17}));
  BOOST_TEST((StorePosition{0, 99} < StorePosition{1, 1}));
}

// Guards against CONFIG: after a restore every read was refused, as its
// revision was lower, until the store had caught up.
BOOST_AUTO_TEST_CASE(a_read_of_a_later_era_is_newer_at_a_lower_revision) {
  StoreSection Section = sectionWith("12", 17, {1, 17});
  BOOST_TEST(Section.adopt(config("13", 16), {2, 16}, at(5000)));
  BOOST_TEST(Section.items().at("config").Value == "13");
  BOOST_TEST((Section.at() == StorePosition{2, 16}));
  BOOST_TEST(Section.staleness(at(5100))->count() == 100);
}

BOOST_AUTO_TEST_CASE(a_late_answer_of_the_earlier_era_is_refused) {
  StoreSection Section = sectionWith("12", 17, {1, 17});
  Section.adopt(config("13", 16), {2, 16}, at(5000));
  BOOST_TEST(!Section.adopt(config("12", 17), {1, 18}, at(5100)));
  BOOST_TEST(!Section.confirm({1, 18}, at(5100)));
  BOOST_TEST(Section.items().at("config").Value == "13");
  BOOST_TEST(Section.staleness(at(5200))->count() == 200);
}

// Guards against CONFIG: the revision of the configuration in force was given
// out again for the next one, and the store's answer that the key still has
// that revision passed for a proof.
BOOST_AUTO_TEST_CASE(a_revision_that_is_given_out_again_confirms_nothing) {
  StoreSection Section = sectionWith("12", 17, {1, 17});
  auto Asked = Section.question();
  BOOST_REQUIRE(Asked);
  BOOST_TEST(!Section.confirm(*Asked, {2, 17}, at(6000)));
  BOOST_TEST(Section.staleness(at(6000))->count() == 6000);
  BOOST_TEST((Section.at() == StorePosition{1, 17}));
}

// A question goes out, the store is restored, and a peer's copy takes this one
// into the new era before the answer arrives.
BOOST_AUTO_TEST_CASE(an_answer_of_another_era_than_its_question_is_none) {
  StoreSection Section = sectionWith("12", 17, {1, 17});
  StoreSection Peer = sectionWith("12", 9, {2, 9});
  auto Asked = Section.question();
  BOOST_REQUIRE(Asked);
  Section.compareAndConfirm(Peer.summary(at(100)), at(100));
  BOOST_TEST((Section.at() == StorePosition{2, 9}));
  BOOST_TEST(!Section.confirm(*Asked, {2, 18}, at(5000)));
  BOOST_TEST(!Section.confirm(*Asked, {1, 18}, at(5000)));
}

BOOST_AUTO_TEST_CASE(a_confirmation_of_this_era_counts) {
  StoreSection Section = sectionWith("12", 17, {2, 17});
  BOOST_TEST(Section.confirm(*Section.question(), {2, 19}, at(900)));
  BOOST_TEST(Section.staleness(at(1000))->count() == 100);
  BOOST_TEST((Section.at() == StorePosition{2, 19}));
}

// Else all processes would fetch what they have.
BOOST_AUTO_TEST_CASE(a_peers_later_era_of_the_same_items_is_taken_over) {
  StoreSection Section = sectionWith("12", 17, {1, 17});
  Section.adopt(config("13", 18), {1, 18}, at(900), Start);
  StoreSection Peer;
  Peer.adopt(config("13", 16), {2, 16}, at(5000));
  BOOST_TEST((Section.compareAndConfirm(Peer.summary(at(5100)), at(5100)) ==
              Comparison::Same));
  BOOST_TEST((Section.at() == StorePosition{2, 16}));
  BOOST_TEST(Section.staleness(at(5100))->count() == 100);
  BOOST_TEST((Section.items().at("config").ChangedAfter == Start));
}

// Revision 0 asks whether the key does not exist; of an item that was removed
// meanwhile that would be a false confirmation.
BOOST_AUTO_TEST_CASE(items_without_revisions_are_read_and_not_asked_about) {
  StoreSection Section = sectionWith("12", 17, {1, 17});
  StoreSection Peer = sectionWith("12", 9, {2, 9});
  Section.compareAndConfirm(Peer.summary(at(100)), at(100));
  BOOST_TEST(!Section.question());
  // Its own read tells the revisions, and is no change.
  BOOST_TEST(!Section.adopt(config("12", 9), {2, 9}, at(900)));
  BOOST_TEST(Section.question().has_value());
  // A peer that lacks them doesn't take them away.
  BOOST_TEST(!Section.adopt(config("12", 0), {2, 10}, at(1800)));
  BOOST_TEST(Section.question().has_value());
}

BOOST_AUTO_TEST_CASE(a_peer_in_an_earlier_era_proves_nothing) {
  StoreSection Section = sectionWith("12", 9, {2, 9});
  StoreSection Peer;
  Peer.adopt(config("12", 17), {1, 17}, at(900));
  BOOST_TEST((Section.compareAndConfirm(Peer.summary(at(900)), at(900)) ==
              Comparison::LocalNewer));
  BOOST_TEST(Section.staleness(at(900))->count() == 900);
  BOOST_TEST((Section.at() == StorePosition{2, 9}));
}

BOOST_AUTO_TEST_CASE(a_peer_of_a_later_era_with_other_items_is_newer) {
  StoreSection Section = sectionWith("12", 17, {1, 17});
  StoreSection Peer = sectionWith("13", 16, {2, 16});
  BOOST_TEST((Section.compareAndConfirm(Peer.summary(at(100)), at(100)) ==
              Comparison::PeerNewer));
  BOOST_TEST((Peer.compareAndConfirm(Section.summary(at(100)), at(100)) ==
              Comparison::LocalNewer));
}

// A process of the last release names no era.
BOOST_AUTO_TEST_CASE(a_peer_that_tells_no_era_is_older_than_one_that_does) {
  StoreSection Earlier = sectionWith("12", 17, {0, 17});
  StoreSection Section = sectionWith("12", 9, {1, 9});
  BOOST_TEST((Section.compareAndConfirm(Earlier.summary(at(100)), at(100)) ==
              Comparison::LocalNewer));
  BOOST_TEST(!Section.adopt(config("11", 40), {0, 40}, at(900)));
  // Among themselves they compare as before.
  StoreSection Other = sectionWith("11", 16, {0, 16});
  BOOST_TEST((Other.compareAndConfirm(Earlier.summary(at(100)), at(100)) ==
              Comparison::PeerNewer));
}

// The countdown to a version would be put off by the restore.
BOOST_AUTO_TEST_CASE(the_same_value_in_a_new_era_did_not_change_later) {
  SectionCopy Copy(SectionCopy::Missing::Gone);
  Copy.adopt(config("1", 3), {1, 3}, Start, Start);
  Copy.adopt(config("2", 8), {1, 8}, at(900), at(900));
  for (int Ms = 1400; Ms <= 4900; Ms += 500)
    Copy.outage().recordReadFailure(at(Ms));
  BOOST_TEST(!Copy.adopt(config("2", 5), {2, 5}, at(5000), at(5000)));
  BOOST_TEST((Copy.items().at("config").ChangedAfter == Start));
}

BOOST_AUTO_TEST_SUITE_END()
