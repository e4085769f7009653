#include "serving/PeerTable.h"
#include "serving/ReadSchedule.h"
#include "serving/StoreOutage.h"

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

BOOST_AUTO_TEST_CASE(a_silent_peer_does_not_read_but_still_counts_in_limits) {
  PeerTable Table(peer("10.1.0.1", "a", PeerRole::Gateway));
  Table.recordContact(peer("10.1.0.2", "a", PeerRole::Gateway), milliseconds(0),
                      Start);
  auto Later = Start + milliseconds(5000);
  BOOST_TEST(Table.storeReaderOrder(Later).size() == 1U);
  BOOST_TEST(Table.gatewayCount(core::FailureDomainId("a"), Later) == 2U);
  auto MuchLater = Start + milliseconds(31000);
  BOOST_TEST(Table.gatewayCount(core::FailureDomainId("a"), MuchLater) == 1U);
}

BOOST_AUTO_TEST_CASE(a_process_without_store_access_reads_last) {
  // Guards against one process without store access delaying its failure
  // domain: the store refused the reader's connections, and the domain learnt
  // only after 2.0 s that a target was draining.
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

BOOST_AUTO_TEST_CASE(relayed_contact_is_never_counted_as_more_recent) {
  PeerTable Table(peer("10.1.0.1", "a", PeerRole::Gateway));
  Peer Other = peer("10.1.0.2", "a", PeerRole::Gateway);
  Table.recordContact(Other, milliseconds(1500), Start);
  BOOST_TEST(!Table.isLive(Other.Ip, Start + milliseconds(600)));
}

BOOST_AUTO_TEST_CASE(only_the_first_in_order_reads_while_data_is_fresh) {
  ReadSchedule Schedule;
  BOOST_TEST(Schedule.readDue(0, milliseconds(300), Start));
  BOOST_TEST(!Schedule.readDue(1, milliseconds(300), Start));
  BOOST_TEST(!Schedule.readDue(5, milliseconds(1250), Start));
  BOOST_TEST(Schedule.readDue(1, milliseconds(1250), Start));
  // Whatever the rank, its turn comes; but not that of all at once.
  BOOST_TEST(!Schedule.readDue(50, milliseconds(2300), Start));
  BOOST_TEST(Schedule.readDue(50, milliseconds(8550), Start));
}

// Guards against processes that all read when all start, and again when all
// reads have failed, until their reads fill the link to the store.
BOOST_AUTO_TEST_CASE(reads_of_a_failure_domain_do_not_grow_with_it) {
  constexpr milliseconds Period{30'000};
  constexpr int Processes = 400;
  constexpr double MaxReadsPerSecond = 20;
  constexpr milliseconds Tick{100};
  std::vector<ReadSchedule> Schedules(Processes);
  for (ReadSchedule &S : Schedules)
    S.begin(Start);
  int Reads = 0;
  for (auto Now = Start; Now < Start + Period; Now += Tick)
    for (std::size_t Rank = 0; Rank < Schedules.size(); ++Rank)
      if (Schedules[Rank].readDue(Rank, std::nullopt, Now)) {
        Schedules[Rank].readStarted(Now);
        Schedules[Rank].readFinished(false);
        ++Reads;
      }
  double Seconds = std::chrono::duration<double>(Period).count();
  BOOST_TEST(Reads / Seconds <= MaxReadsPerSecond);
}

// Guards against a link that is full of copies of which none is completed.
BOOST_AUTO_TEST_CASE(nobody_takes_over_while_a_peer_is_reading) {
  ReadSchedule Schedule;
  Schedule.peerReading(Start);
  auto Soon = Start + milliseconds(600);
  BOOST_TEST(!Schedule.readDue(1, milliseconds(2300), Soon));
  BOOST_TEST(!Schedule.readDue(50, milliseconds(3100), Soon));
  // The first in order still reads.
  BOOST_TEST(Schedule.readDue(0, milliseconds(2300), Soon));
  // The peer has gone silent, or has been reading for too long.
  BOOST_TEST(
      Schedule.readDue(1, milliseconds(2300), Start + milliseconds(800)));
  BOOST_TEST(Schedule.readDue(1, milliseconds(3300), Soon));
  // Even then not all at once.
  BOOST_TEST(!Schedule.readDue(5, milliseconds(3300), Soon));
  BOOST_TEST(!Schedule.readDue(50, milliseconds(4200), Soon));
  BOOST_TEST(Schedule.readDue(5, milliseconds(3800), Soon));
}

// Guards against a process that stays without data because it waits for peers
// that have none.
BOOST_AUTO_TEST_CASE(a_process_without_data_takes_over_like_a_stale_one) {
  ReadSchedule Schedule;
  Schedule.begin(Start);
  BOOST_TEST(Schedule.readDue(0, std::nullopt, Start));
  BOOST_TEST(!Schedule.readDue(1, std::nullopt, Start + milliseconds(1100)));
  BOOST_TEST(Schedule.readDue(1, std::nullopt, Start + milliseconds(1200)));
  BOOST_TEST(!Schedule.readDue(5, std::nullopt, Start + milliseconds(1700)));
  BOOST_TEST(Schedule.readDue(5, std::nullopt, Start + milliseconds(1800)));
}

BOOST_AUTO_TEST_CASE(a_failed_read_is_not_repeated_at_once) {
  ReadSchedule Schedule;
  Schedule.readStarted(Start);
  Schedule.readFinished(false);
  BOOST_TEST(
      !Schedule.readDue(0, milliseconds(3000), Start + milliseconds(300)));
  BOOST_TEST(
      Schedule.readDue(0, milliseconds(3000), Start + milliseconds(600)));
}

// Guards against losing all targets after an outage of the store. Two versions
// were named while no process could read the store for 8 s; at the end of the
// outage all targets became unusable until they had loaded the newer one.
BOOST_AUTO_TEST_CASE(the_countdown_to_a_version_stops_during_an_outage) {
  StoreOutage Outage;
  for (int Ms = 600; Ms <= 8000; Ms += 500)
    Outage.recordReadFailure(Start + milliseconds(Ms));
  BOOST_TEST((Outage.countdownStart(Start) >= Start + milliseconds(7500)));
}

BOOST_AUTO_TEST_CASE(
    a_partitioned_process_assumes_that_the_countdown_continued) {
  StoreOutage Outage;
  Outage.recordPossiblePartition(Start + milliseconds(2100));
  for (int Ms = 600; Ms <= 8000; Ms += 500)
    Outage.recordReadFailure(Start + milliseconds(Ms));
  BOOST_TEST((Outage.countdownStart(Start) == Start));
}

BOOST_AUTO_TEST_CASE(a_single_failed_read_is_no_outage) {
  StoreOutage Outage;
  Outage.recordReadFailure(Start + milliseconds(900));
  BOOST_TEST((Outage.countdownStart(Start) == Start));
  // An earlier outage does not affect a later gap.
  BOOST_TEST((Outage.countdownStart(Start + milliseconds(5000)) ==
              Start + milliseconds(5000)));
}

BOOST_AUTO_TEST_CASE(a_partitioned_process_has_no_peer_quorum) {
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
  // One partitioned host per failure domain is heard from, which is not a
  // majority of the fleet.
  for (const char *Domain : {"a", "b", "c"})
    Table.recordContact(
        peer("10.1." + std::string(Domain) + "2", Domain, PeerRole::Gateway),
        milliseconds(0), Later);
  BOOST_TEST(!Table.hasPeerQuorum(Later));
  // All failure domains but one are heard from.
  for (const char *Domain : {"a", "b"})
    for (int Host = 2; Host < 6; ++Host)
      Table.recordContact(
          peer("10.1." + std::string(Domain) + std::to_string(Host), Domain,
               PeerRole::Gateway),
          milliseconds(0), Later);
  BOOST_TEST(Table.hasPeerQuorum(Later));
}

// Guards against taking an outage of the store for a partition because another
// failure domain was cut off before it, or because there are no peers.
BOOST_AUTO_TEST_CASE(quorum_of_the_peers_that_were_live_before) {
  PeerTable Table(peer("10.1.0.1", "a", PeerRole::Gateway));
  BOOST_TEST(Table.hasQuorumOf(Table.liveIps(Start), Start));
  for (const char *Domain : {"a", "b", "c"})
    for (int Host = 2; Host < 6; ++Host)
      Table.recordContact(
          peer("10.1." + std::string(Domain) + std::to_string(Host), Domain,
               PeerRole::Gateway),
          milliseconds(0), Start);
  auto Hear = [&](const char *Domain, core::BootTime Now) {
    for (int Host = 2; Host < 6; ++Host)
      Table.recordContact(
          peer("10.1." + std::string(Domain) + std::to_string(Host), Domain,
               PeerRole::Gateway),
          milliseconds(0), Now);
  };
  // Failure domain c is cut off.
  auto Later = Start + milliseconds(5000);
  Hear("a", Later);
  Hear("b", Later);
  BOOST_TEST(!Table.hasPeerQuorum(Later));
  auto Before = Table.liveIps(Later);
  auto Outage = Later + milliseconds(5000);
  Hear("a", Outage);
  Hear("b", Outage);
  BOOST_TEST(Table.hasQuorumOf(Before, Outage));
  // This process is cut off from b as well.
  auto Partition = Outage + milliseconds(5000);
  Hear("a", Partition);
  BOOST_TEST(!Table.hasQuorumOf(Before, Partition));
}

BOOST_AUTO_TEST_SUITE_END()
