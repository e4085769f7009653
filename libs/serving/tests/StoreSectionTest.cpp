#include "serving/StoreSection.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace rosemarylane;
using namespace rosemarylane::serving;
using std::chrono::milliseconds;

namespace {

const core::BootTime Start = core::BootTime(std::chrono::hours(1));

/// @return a position in a store that was never restored.
StorePosition rev(std::int64_t Revision) { return {1, Revision}; }

StoreSection::Items items(const std::string &Value, std::int64_t Revision) {
  return {{"a", {Value, Revision}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_section)

BOOST_AUTO_TEST_CASE(never_goes_back_to_an_older_read) {
  StoreSection Section;
  Section.adopt(items("new", 9), rev(10), Start);
  BOOST_TEST(!Section.adopt(items("old", 3), rev(5), Start + milliseconds(50)));
  BOOST_TEST(Section.items().at("a").Value == "new");
}

// Guards against DRAIN: a peer's copy that had been asked for before the last
// read replaced that read, because both had one store revision.
BOOST_AUTO_TEST_CASE(a_copy_at_the_same_revision_does_not_undo_a_later_read) {
  StoreSection Section;
  Section.adopt(items("read", 9), rev(10), Start + milliseconds(40));
  BOOST_TEST(!Section.adopt(items("copy", 9), rev(10), Start));
  BOOST_TEST(Section.items().at("a").Value == "read");
  BOOST_TEST(Section.adopt(items("later read", 9), rev(10),
                           Start + milliseconds(900)));
}

// Guards against processes that restart while a version is named: they read the
// item that names it without knowing how old the item is.
BOOST_AUTO_TEST_CASE(
    a_started_process_learns_from_a_peer_when_an_item_changed) {
  StoreSection Old;
  Old.adopt(items("1", 3), rev(5), Start);
  auto Later = Start + milliseconds(2000);
  auto Unchanged = Later - milliseconds(500);
  Old.adopt(items("2", 9), rev(10), Later, Unchanged);
  BOOST_TEST((Old.items().at("a").ChangedAfter == Unchanged));

  StoreSection Started;
  Started.adopt(items("2", 9), rev(10), Later);
  BOOST_TEST(Started.lacksChangeTimes());
  // The same items with known change times count as a change, once.
  BOOST_TEST(Started.adopt(Old.items(), rev(10), Later));
  BOOST_TEST((Started.items().at("a").ChangedAfter == Unchanged));
  BOOST_TEST(!Started.lacksChangeTimes());
  BOOST_TEST(!Started.adopt(Old.items(), rev(10), Later));
  // The next read of the store keeps the change times.
  Started.adopt(items("2", 9), rev(11), Later + milliseconds(900));
  BOOST_TEST(!Started.lacksChangeTimes());
}

BOOST_AUTO_TEST_CASE(the_later_of_two_change_times_is_kept) {
  auto Later = Start + milliseconds(2000);
  StoreSection Partitioned;
  Partitioned.adopt(items("1", 3), rev(5), Start);
  Partitioned.adopt(items("2", 9), rev(10), Later, Start);
  StoreSection::Items Known = items("2", 9);
  Known.at("a").ChangedAfter = Start + milliseconds(1200);
  BOOST_TEST(Partitioned.adopt(Known, rev(10), Later));
  BOOST_TEST(
      (Partitioned.items().at("a").ChangedAfter == Start + milliseconds(1200)));
}

BOOST_AUTO_TEST_CASE(an_older_read_of_a_peer_confirms_nothing) {
  StoreSection Local;
  StoreSection Peer;
  Local.adopt(items("new", 9), rev(10), Start);
  Peer.adopt(items("old", 3), rev(5), Start + milliseconds(500));
  auto Comparison =
      Local.compareAndConfirm(Peer.summary(Start + milliseconds(500)), Start);
  BOOST_TEST((Comparison == StoreSection::Comparison::LocalNewer));
  BOOST_TEST(Local.staleness(Start + milliseconds(1000))->count() == 1000);
}

BOOST_AUTO_TEST_CASE(a_delayed_reply_never_understates_the_staleness) {
  // The reply is 400 ms old when its staleness is evaluated; the staleness is
  // counted from the time of the query.
  StoreSection Local;
  StoreSection Peer;
  Local.adopt(items("x", 3), rev(5), Start);
  Peer.adopt(items("x", 3), rev(5), Start + milliseconds(100));
  auto Summary = Peer.summary(Start + milliseconds(300));
  Local.compareAndConfirm(Summary, /*QueriedAt=*/Start + milliseconds(290));
  auto Age = Local.staleness(Start + milliseconds(700));
  BOOST_TEST(Age->count() >= 600);
}

BOOST_AUTO_TEST_CASE(proofs_understate_no_age_in_any_order_of_messages) {
  BOOST_TEST(rc::check([] {
    // The store holds revision 1 until `Changed`. A process that still holds
    // revision 1 must not claim that it was confirmed after `Changed`.
    const auto Changed = Start + milliseconds(*rc::gen::inRange(0, 2000));
    std::vector<StoreSection> Processes(3);
    core::BootTime Now = Start;
    for (int Step = 0; Step < 60; ++Step) {
      Now += milliseconds(*rc::gen::inRange(1, 80));
      auto &One = Processes[*rc::gen::inRange<std::size_t>(0, 3)];
      if (*rc::gen::arbitrary<bool>()) {
        bool Old = Now < Changed;
        One.adopt(items(Old ? "old" : "new", Old ? 1 : 2), rev(Old ? 1 : 2),
                  Now);
      } else {
        auto &Other = Processes[*rc::gen::inRange<std::size_t>(0, 3)];
        auto Asked = Now - milliseconds(*rc::gen::inRange(0, 50));
        if (Asked >= Start)
          One.compareAndConfirm(Other.summary(Now), Asked);
      }
      for (const StoreSection &P : Processes)
        if (P.known() && P.items().at("a").Value == "old")
          RC_ASSERT(Now - *P.staleness(Now) <= Changed);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()
