#include "serving/PeerTable.h"
#include "serving/StoreOutageDetector.h"
#include "serving/StoreReadSchedule.h"

#include <boost/test/unit_test.hpp>

using namespace rosemarylane;
using namespace rosemarylane::serving;
using std::chrono::milliseconds;

namespace {

const core::BootTime Start = core::BootTime(std::chrono::hours(1));

Peer peer(const std::string &Ip, const std::string &Domain, PeerRole Role) {
  return {Ip, core::FailureDomainId(Domain), Role};
}

} // namespace

BOOST_AUTO_TEST_SUITE(peers)

BOOST_AUTO_TEST_CASE(all_members_agree_on_who_reads_the_store) {
  std::vector<Peer> All{peer("10.1.0.1", "a", PeerRole::Gateway),
                        peer("10.1.0.2", "a", PeerRole::Gateway),
                        peer("10.1.0.3", "a", PeerRole::Sidecar)};
  std::vector<std::string> Readers;
  for (const Peer &Self : All) {
    PeerTable Table(Self);
    for (const Peer &Other : All)
      Table.recordContact(Other, milliseconds(0), Start);
    Readers.push_back(Table.storeReaderOrder(Start).front().Ip);
  }
  BOOST_TEST(Readers[0] == Readers[1]);
  BOOST_TEST(Readers[1] == Readers[2]);
  BOOST_TEST(Readers[0] != "10.1.0.3");
}

BOOST_AUTO_TEST_CASE(a_silent_peer_takes_no_duty_but_still_counts_in_limits) {
  PeerTable Table(peer("10.1.0.1", "a", PeerRole::Gateway));
  Table.recordContact(peer("10.1.0.2", "a", PeerRole::Gateway), milliseconds(0),
                      Start);
  auto Later = Start + milliseconds(5000);
  BOOST_TEST(Table.storeReaderOrder(Later).size() == 1U);
  BOOST_TEST(Table.gateways(core::FailureDomainId("a"), Later) == 2U);
  auto MuchLater = Start + milliseconds(31000);
  BOOST_TEST(Table.gateways(core::FailureDomainId("a"), MuchLater) == 1U);
}

BOOST_AUTO_TEST_CASE(who_cannot_reach_the_store_reads_last) {
  // Seen on a played day: the store turned the reader away, and its failure
  // domain heard of a leaving target after 2.0 s.
  Peer Self = peer("10.1.0.1", "a", PeerRole::Gateway);
  PeerTable Table(Self);
  Peer Other = peer("10.1.0.2", "a", PeerRole::Gateway);
  Table.recordContact(Other, milliseconds(0), Start);
  std::string First = Table.storeReaderOrder(Start).front().Ip;
  if (First == Self.Ip) {
    Table.setStoreLost(true);
  } else {
    Other.StoreLost = true;
    Table.recordContact(Other, milliseconds(0), Start + milliseconds(10));
  }
  BOOST_TEST(Table.storeReaderOrder(Start + milliseconds(10)).front().Ip !=
             First);
}

BOOST_AUTO_TEST_CASE(hearsay_never_makes_a_peer_younger) {
  PeerTable Table(peer("10.1.0.1", "a", PeerRole::Gateway));
  Peer Other = peer("10.1.0.2", "a", PeerRole::Gateway);
  Table.recordContact(Other, milliseconds(1500), Start);
  BOOST_TEST(!Table.isLive(Other.Ip, Start + milliseconds(600)));
}

BOOST_AUTO_TEST_CASE(only_the_first_in_order_reads_while_proofs_are_fresh) {
  StoreReadSchedule Schedule;
  BOOST_TEST(Schedule.readDue(0, milliseconds(300), Start));
  BOOST_TEST(!Schedule.readDue(1, milliseconds(300), Start));
  BOOST_TEST(!Schedule.readDue(5, milliseconds(1250), Start));
  BOOST_TEST(Schedule.readDue(1, milliseconds(1250), Start));
  BOOST_TEST(Schedule.readDue(50, milliseconds(2300), Start));
  BOOST_TEST(Schedule.readDue(5, std::nullopt, Start));
}

BOOST_AUTO_TEST_CASE(a_failed_read_is_not_repeated_at_once) {
  StoreReadSchedule Schedule;
  Schedule.readStarted(Start);
  Schedule.readFinished(false);
  BOOST_TEST(
      !Schedule.readDue(0, milliseconds(3000), Start + milliseconds(300)));
  BOOST_TEST(
      Schedule.readDue(0, milliseconds(3000), Start + milliseconds(600)));
}

// Load pattern: two versions are named during an outage of the store of eight
// seconds. At its end all targets were given up until they had the newer one.
BOOST_AUTO_TEST_CASE(
    a_versions_time_does_not_run_while_nobody_reaches_the_store) {
  StoreOutageDetector Outage;
  for (int Time = 600; Time <= 8000; Time += 500)
    Outage.recordReadFailure(Start + milliseconds(Time));
  BOOST_TEST((Outage.countdownStart(Start) >= Start + milliseconds(7500)));
}

BOOST_AUTO_TEST_CASE(a_process_that_was_cut_off_assumes_that_the_time_ran) {
  StoreOutageDetector Outage;
  Outage.recordIsolation(Start + milliseconds(2100));
  for (int Time = 600; Time <= 8000; Time += 500)
    Outage.recordReadFailure(Start + milliseconds(Time));
  BOOST_TEST((Outage.countdownStart(Start) == Start));
}

BOOST_AUTO_TEST_CASE(a_single_failed_read_is_no_outage) {
  StoreOutageDetector Outage;
  Outage.recordReadFailure(Start + milliseconds(900));
  BOOST_TEST((Outage.countdownStart(Start) == Start));
  // An outage long ago says nothing about now.
  BOOST_TEST((Outage.countdownStart(Start + milliseconds(5000)) ==
              Start + milliseconds(5000)));
}

BOOST_AUTO_TEST_CASE(a_cut_off_process_hears_only_a_part_of_the_fleet) {
  PeerTable Table(peer("10.1.0.1", "a", PeerRole::Gateway));
  for (const char *Domain : {"a", "b", "c"})
    for (int Host = 2; Host < 6; ++Host)
      Table.recordContact(
          peer("10.1." + std::string(Domain) + std::to_string(Host), Domain,
               PeerRole::Gateway),
          milliseconds(0), Start);
  BOOST_TEST(Table.hasPeerQuorum(Start + milliseconds(500)));
  auto Later = Start + milliseconds(5000);
  BOOST_TEST(!Table.hasPeerQuorum(Later));
  // One cut-off host of each failure domain is heard: not most of the fleet.
  for (const char *Domain : {"a", "b", "c"})
    Table.recordContact(
        peer("10.1." + std::string(Domain) + "2", Domain, PeerRole::Gateway),
        milliseconds(0), Later);
  BOOST_TEST(!Table.hasPeerQuorum(Later));
  // All but one failure domain are heard.
  for (const char *Domain : {"a", "b"})
    for (int Host = 2; Host < 6; ++Host)
      Table.recordContact(
          peer("10.1." + std::string(Domain) + std::to_string(Host), Domain,
               PeerRole::Gateway),
          milliseconds(0), Later);
  BOOST_TEST(Table.hasPeerQuorum(Later));
}

BOOST_AUTO_TEST_SUITE_END()
