#include "serving/SectionCopy.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>
#include <set>
#include <vector>

using namespace rosemarylane;
using namespace rosemarylane::serving;
using std::chrono::milliseconds;

namespace {

const core::BootTime Start = core::BootTime(std::chrono::hours(1));

core::BootTime at(int Ms) { return Start + milliseconds(Ms); }

/// @return a position in a store that was never restored.
StorePosition rev(std::int64_t Revision) { return {1, Revision}; }

StoreSection::Items entry(const std::string &Key, const std::string &Value) {
  return {{Key, {Value, 0}}};
}

SectionCopy registryWith(const StoreSection::Items &Items) {
  SectionCopy Copy(SectionCopy::Missing::MayHaveLapsed);
  Copy.adopt(Items, rev(5), Start, Start);
  return Copy;
}

/// Records what a process sees of an outage of the store from \p From to
/// \p Until milliseconds after `Start`.
void failReads(SectionCopy &Copy, int From, int Until) {
  for (int Ms = From; Ms <= Until; Ms += 500)
    Copy.outage().recordReadFailure(at(Ms));
}

} // namespace

BOOST_AUTO_TEST_SUITE(section_copy)

// Guards against DRAIN: a process that was cut off passed on entries that the
// store no longer showed, under the store's revision, and peers that had been
// connected sent to targets that had left.
BOOST_AUTO_TEST_CASE(what_a_process_retains_is_not_passed_on) {
  SectionCopy Copy = registryWith(entry("t", "ready"));
  failReads(Copy, 500, 4500);
  BOOST_REQUIRE(Copy.adopt({}, rev(9), at(5000), at(5000)));
  BOOST_TEST(Copy.items().size() == 1);
  BOOST_TEST(Copy.section().items().empty());
}

BOOST_AUTO_TEST_CASE(entries_that_lapsed_with_the_store_are_kept_for_a_while) {
  SectionCopy Copy = registryWith(entry("t", "ready"));
  failReads(Copy, 500, 4500);
  Copy.adopt({}, rev(9), at(5000), at(5000));
  BOOST_TEST(Copy.items().size() == 1);
  // A later read that still doesn't show the entry does not prolong the time.
  Copy.adopt(entry("other", "ready"), rev(10), at(5900), at(5900));
  BOOST_TEST(Copy.items().size() == 2);
  Copy.confirm(rev(11), at(6800));
  BOOST_TEST(!Copy.expire(at(7199)));
  BOOST_TEST(Copy.expire(at(7200)));
  BOOST_TEST(Copy.items().size() == 1);
}

// Guards against losing all targets when the store is down again before they
// had time to register.
BOOST_AUTO_TEST_CASE(lapsed_entries_are_kept_through_a_second_outage) {
  SectionCopy Copy = registryWith(entry("t", "ready"));
  failReads(Copy, 500, 4500);
  Copy.adopt({}, rev(9), at(5000), at(5000));
  Copy.confirm(rev(10), at(5900));
  BOOST_TEST(!Copy.expire(at(9000)));
  BOOST_TEST(Copy.items().size() == 1);
  // Back again, and the target has not registered.
  Copy.confirm(rev(11), at(9100));
  BOOST_TEST(Copy.expire(at(9200)));
  BOOST_TEST(Copy.items().empty());
}

// A target that was deleted just after a read is not kept because the next read
// took long.
BOOST_AUTO_TEST_CASE(time_that_an_answer_takes_is_no_outage) {
  SectionCopy Copy = registryWith(entry("t", "ready"));
  Copy.outage().recordPeerFailure(at(1200));
  Copy.adopt({}, rev(9), at(1500), at(2600));
  BOOST_TEST(Copy.items().empty());
}

BOOST_AUTO_TEST_CASE(an_entry_that_is_registered_again_is_the_new_one) {
  SectionCopy Copy = registryWith(entry("t", "ready"));
  failReads(Copy, 500, 4500);
  Copy.adopt({}, rev(9), at(5000), at(5000));
  Copy.adopt(entry("t", "draining"), rev(10), at(5500), at(5500));
  BOOST_TEST(Copy.items().at("t").Value == "draining");
  // It leaves while the store answers.
  Copy.adopt({}, rev(11), at(6400), at(6400));
  BOOST_TEST(Copy.items().empty());
}

BOOST_AUTO_TEST_CASE(an_entry_missing_while_the_store_answers_is_dropped) {
  SectionCopy Copy = registryWith(entry("t", "ready"));
  Copy.adopt({}, rev(9), at(900), at(900));
  BOOST_TEST(Copy.items().empty());
}

BOOST_AUTO_TEST_CASE(an_entry_missing_after_a_partition_is_gone) {
  SectionCopy Copy = registryWith(entry("t", "ready"));
  failReads(Copy, 500, 4500);
  Copy.outage().recordPossiblePartition(at(2100));
  Copy.adopt({}, rev(9), at(5000), at(5000));
  BOOST_TEST(Copy.items().empty());
}

// A process that wakes after a freeze has no failed reads to show for the time
// of the freeze but the one that it was in.
BOOST_AUTO_TEST_CASE(an_entry_missing_after_a_freeze_is_gone) {
  SectionCopy Copy = registryWith(entry("t", "ready"));
  Copy.outage().recordReadFailure(at(900));
  Copy.adopt({}, rev(9), at(6000), at(6000));
  BOOST_TEST(Copy.items().empty());
}

// The reader of a failure domain fails, and the next one takes over.
BOOST_AUTO_TEST_CASE(an_entry_missing_after_a_change_of_readers_is_gone) {
  SectionCopy Copy = registryWith(entry("t", "ready"));
  Copy.outage().recordReadFailure(at(900));
  Copy.outage().recordPeerFailure(at(1500));
  Copy.adopt({}, rev(9), at(1900), at(1900));
  BOOST_TEST(Copy.items().empty());
}

BOOST_AUTO_TEST_CASE(a_process_without_reads_of_its_own_retains_as_well) {
  SectionCopy Copy = registryWith(entry("t", "ready"));
  for (int Ms = 1000; Ms <= 4500; Ms += 100)
    Copy.outage().recordPeerFailure(at(Ms));
  // The reader's copy of the first read after the outage.
  Copy.adopt({}, rev(9), at(4900), at(5000));
  BOOST_TEST(Copy.items().size() == 1);
}

// A peer has read the store meanwhile, but its copy could not be fetched.
BOOST_AUTO_TEST_CASE(a_newer_copy_of_a_peer_disproves_an_outage) {
  SectionCopy Copy = registryWith(entry("t", "ready"));
  failReads(Copy, 500, 4500);
  StoreSection Peer;
  Peer.adopt({}, rev(7), at(1500), std::nullopt);
  auto Result =
      Copy.compareAndConfirm(Peer.summary(at(1600)), at(1600), at(1600));
  BOOST_TEST((Result == StoreSection::Comparison::PeerNewer));
  auto Change = Copy.adopt({}, rev(9), at(5000), at(5000));
  BOOST_TEST(Copy.items().empty());
  BOOST_REQUIRE(Change);
  BOOST_TEST((Change->CountdownStart == Start));
}

// The first process to read after an outage tells the others before they have
// fetched its copy.
BOOST_AUTO_TEST_CASE(a_peer_that_reads_after_the_outage_does_not_disprove_it) {
  SectionCopy Copy = registryWith(entry("t", "ready"));
  failReads(Copy, 500, 4500);
  StoreSection Peer;
  Peer.adopt({}, rev(9), at(5000), std::nullopt);
  Copy.compareAndConfirm(Peer.summary(at(5050)), at(5050), at(5050));
  Copy.outage().recordReadFailure(at(5060));
  auto Change = Copy.adopt({}, rev(9), at(5000), at(5100));
  BOOST_TEST(Copy.items().size() == 1);
  BOOST_REQUIRE(Change);
  BOOST_TEST((Change->CountdownStart == at(4500)));
}

// Guards against VERSION: peers adopted the later of two times after which an
// item had changed, also if one of them was only assumed.
BOOST_AUTO_TEST_CASE(an_assumed_outage_moves_a_countdown_in_this_process_only) {
  SectionCopy Copy(SectionCopy::Missing::Gone);
  Copy.adopt({{"version", {"1", 3}}}, rev(5), Start, Start);
  failReads(Copy, 500, 4500);
  auto Change = Copy.adopt({{"version", {"2", 8}}}, rev(9), at(5000), at(5000));
  BOOST_REQUIRE(Change);
  BOOST_TEST((Change->CountdownStart == at(4500)));
  BOOST_TEST((Copy.items().at("version").ChangedAfter == at(4500)));
  BOOST_TEST((Copy.section().items().at("version").ChangedAfter == Start));
  // The next change without an outage is counted from its own confirmation.
  Copy.adopt({{"version", {"3", 11}}}, rev(12), at(5900), at(5900));
  BOOST_TEST((Copy.items().at("version").ChangedAfter == at(5000)));
}

/// A store whose entries come, change and go, and processes that read it, copy
/// each other, and are cut off from time to time.
struct Fleet {
  static constexpr int Processes = 4;

  Fleet() {
    for (int I = 0; I < Processes; ++I)
      Copies.emplace_back(SectionCopy::Missing::MayHaveLapsed);
    History[Revision] = Held;
  }

  void changeStore() {
    std::string Key = "t" + std::to_string(*rc::gen::inRange(0, 4));
    int What = *rc::gen::inRange(0, 3);
    if (What == 0)
      Held.erase(Key);
    else
      Held[Key] = {What == 1 ? "ready" : "draining", 0};
    History[++Revision] = Held;
  }

  void step(core::BootTime Now) {
    int One = *rc::gen::inRange(0, Processes);
    if (CutOff.contains(One)) {
      Copies[One].outage().recordReadFailure(Now);
      if (*rc::gen::arbitrary<bool>())
        Copies[One].outage().recordPossiblePartition(Now);
      return;
    }
    if (*rc::gen::arbitrary<bool>()) {
      Copies[One].adopt(Held, rev(Revision), Now, Now);
      return;
    }
    int Other = *rc::gen::inRange(0, Processes);
    if (Other != One && !CutOff.contains(Other))
      copy(Copies[Other], Copies[One], Now);
  }

  static void copy(const SectionCopy &From, SectionCopy &To,
                   core::BootTime Now) {
    auto Summary = From.section().summary(Now);
    if (To.compareAndConfirm(Summary, Now, Now) ==
        StoreSection::Comparison::PeerNewer)
      To.adopt(From.section().items(), Summary.At, Now - *Summary.Staleness,
               Now);
  }

  std::vector<SectionCopy> Copies;
  StoreSection::Items Held;
  std::int64_t Revision = 1;
  std::map<std::int64_t, StoreSection::Items> History;
  std::set<int> CutOff;
};

// Whatever was cut off, assumed and copied, a section holds what the store held
// at that revision.
BOOST_AUTO_TEST_CASE(a_section_holds_what_the_store_held) {
  BOOST_TEST(rc::check([] {
    Fleet All;
    core::BootTime Now = Start;
    for (int Step = 0; Step < 200; ++Step) {
      Now += milliseconds(*rc::gen::inRange(1, 400));
      int What = *rc::gen::inRange(0, 10);
      if (What == 0)
        All.changeStore();
      else if (What == 1)
        All.CutOff.insert(*rc::gen::inRange(0, Fleet::Processes));
      else if (What == 2)
        All.CutOff.clear();
      else
        All.step(Now);
      for (const SectionCopy &Copy : All.Copies)
        if (Copy.section().known())
          RC_ASSERT(Copy.section().items() ==
                    All.History.at(Copy.section().at().Revision));
    }
  }));
}

// An entry that the store no longer shows is acted on until a read at the end
// of `ReregistrationTime` at most, whatever is assumed of outages.
BOOST_AUTO_TEST_CASE(a_deleted_entry_is_acted_on_for_a_bounded_time) {
  BOOST_TEST(rc::check([] {
    Fleet All;
    std::vector<std::map<std::string, core::BootTime>> MissingSince(
        Fleet::Processes);
    core::BootTime Now = Start;
    for (int Step = 0; Step < 200; ++Step) {
      Now += milliseconds(*rc::gen::inRange(1, 400));
      int What = *rc::gen::inRange(0, 10);
      if (What == 0)
        All.changeStore();
      else if (What == 1)
        All.CutOff.insert(*rc::gen::inRange(0, Fleet::Processes));
      else if (What == 2)
        All.CutOff.clear();
      else
        All.step(Now);
      for (int I = 0; I < Fleet::Processes; ++I) {
        SectionCopy &Copy = All.Copies[I];
        Copy.expire(Now);
        auto &Since = MissingSince[I];
        std::erase_if(Since, [&](const auto &Entry) {
          return Copy.section().items().contains(Entry.first) ||
                 !Copy.items().contains(Entry.first);
        });
        core::BootTime ConfirmedAt = Copy.section().known()
                                         ? Now - *Copy.section().staleness(Now)
                                         : core::BootTime();
        for (const auto &[Key, Item] : Copy.items()) {
          if (Copy.section().items().contains(Key))
            continue;
          auto Until = Since.try_emplace(Key, Now).first->second +
                       LapsedEntries::ReregistrationTime;
          RC_ASSERT(Now < Until || ConfirmedAt < Until);
        }
      }
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()
