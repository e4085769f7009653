#include "serving/PeerQuerySchedule.h"
#include "serving/PeerTable.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

// A fleet of processes that learn of each other by queries and replies only.

using namespace rosemarylane;
using namespace rosemarylane::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds Tick{100};
constexpr milliseconds ProbePeriod{1000};
constexpr milliseconds ProbeSilence{1500};
/// Time for which a process that is restarted is down.
constexpr milliseconds Downtime{2500};
/// Time from the start of a process until it has read the registry of targets.
constexpr milliseconds RegistryReadTime{1100};
/// Staleness of the store's sections; no process misses a read.
constexpr milliseconds Staleness{100};

/// Gateways that know no host at their start, and sidecars, which every process
/// finds by the registry of targets once it has read it. Messages arrive within
/// the tick.
class Fleet {
public:
  Fleet(int Gateways, int Sidecars, int Domains, unsigned Seed) : Random(Seed) {
    for (int I = 0; I < Gateways + Sidecars; ++I) {
      auto Role = I < Gateways ? PeerRole::Gateway : PeerRole::Sidecar;
      Peer Self{std::to_string(I), domain(I % Domains), Role};
      Processes.emplace(Self.Ip, Process(Self));
    }
  }

  /// Ends processes and starts them anew; they have forgotten all others.
  void restart(const std::set<std::string> &Ips) {
    for (const std::string &Ip : Ips) {
      Processes.at(Ip) = Process(Processes.at(Ip).Table.self());
      Processes.at(Ip).StartsAt = Now + Downtime;
    }
  }

  void run(milliseconds Time) {
    for (auto Until = Now + Time; Now < Until; Now += Tick)
      for (auto &[Ip, P] : Processes)
        step(P);
  }

  std::set<std::string> gateways() const {
    std::set<std::string> Result;
    for (const auto &[Ip, P] : Processes)
      if (P.Table.self().Role == PeerRole::Gateway)
        Result.insert(Ip);
    return Result;
  }

  /// @return the smallest number of gateways that a gateway counts.
  std::size_t fewestKnown() const {
    std::size_t Fewest = Processes.size();
    for (const std::string &Ip : gateways())
      Fewest = std::min(Fewest, Processes.at(Ip).Table.gatewayCount(
                                    core::FailureDomainId(), Now));
    return Fewest;
  }

  /// @return the number of live peers that the process counts which sees
  /// fewest.
  std::size_t fewestLive() const {
    std::size_t Fewest = Processes.size();
    for (const auto &[Ip, P] : Processes)
      Fewest = std::min(Fewest, P.Table.live(Now).size());
    return Fewest;
  }

  /// @return the replies that the busiest process sent in the last run.
  std::size_t mostReplies() const {
    std::size_t Most = 0;
    for (const auto &[Ip, P] : Processes)
      Most = std::max(Most, P.Replies);
    return Most;
  }

private:
  struct Process {
    explicit Process(const Peer &Self) : Table(Self) {}
    PeerTable Table;
    PeerQuerySchedule Schedule;
    core::BootTime StartsAt{};
    core::BootTime LastProbe{};
    std::size_t Replies = 0;
  };

  static core::FailureDomainId domain(int Number) {
    return core::FailureDomainId("d" + std::to_string(Number));
  }

  void step(Process &P) {
    if (Now < P.StartsAt)
      return;
    P.Table.removeStale(Now);
    std::size_t Rank = P.Table.storeReaderRank(Now);
    if (Rank > 0 && P.Schedule.queryDue(Rank, Staleness, Now)) {
      P.Schedule.queryStarted(Now);
      query(P, P.Table.storeReaderOrder(Now).front().Ip, /*Lists=*/true);
    }
    if (Rank == 0 && P.Schedule.domainsQueryDue(Now)) {
      P.Schedule.domainsQueried(Now);
      for (const Peer &Reader : P.Table.readersElsewhere(Now))
        query(P, Reader.Ip, /*Lists=*/true);
    }
    std::vector<Peer> Live = P.Table.live(Now);
    if (!Live.empty() && P.Schedule.memberQueryDue(Now)) {
      std::uniform_int_distribution<std::size_t> Index(0, Live.size() - 1);
      P.Schedule.membersQueried(Now);
      query(P, Live[Index(Random)].Ip, /*Lists=*/true);
    }
    if (Now - P.LastProbe >= ProbePeriod)
      probe(P);
  }

  void probe(Process &P) {
    P.LastProbe = Now;
    std::set<std::string> Hosts;
    bool RegistryRead = Now >= P.StartsAt + RegistryReadTime;
    for (const auto &[Ip, Other] : Processes)
      if (RegistryRead && Other.Table.self().Role == PeerRole::Sidecar)
        Hosts.insert(Ip);
    for (const auto &[Ip, Entry] : P.Table.entries())
      Hosts.insert(Ip);
    for (const std::string &Ip : Hosts) {
      auto Known = P.Table.entries().find(Ip);
      bool Silent = Known == P.Table.entries().end() ||
                    Now - Known->second.LastHeard >= ProbeSilence;
      if (Ip != P.Table.self().Ip && Silent)
        query(P, Ip, /*Lists=*/false);
    }
  }

  /// @param Lists whether the reply lists the processes that its sender knows.
  void query(Process &From, const std::string &Ip, bool Lists) {
    Process &To = Processes.at(Ip);
    if (Now < To.StartsAt)
      return;
    To.Table.recordContact(From.Table.self(), milliseconds(0), Now);
    ++To.Replies;
    From.Table.recordContact(To.Table.self(), milliseconds(0), Now);
    if (!Lists)
      return;
    for (const auto &[Known, Entry] : To.Table.entries())
      From.Table.recordContact(
          Entry.Details, std::chrono::ceil<milliseconds>(Now - Entry.LastHeard),
          Now);
    From.Schedule.membersReceived(Now);
  }

  std::mt19937_64 Random;
  core::BootTime Now = core::BootTime(std::chrono::hours(1));
  std::map<std::string, Process> Processes;
};

} // namespace

BOOST_AUTO_TEST_SUITE(peer_discovery)

// Gateways that were restarted together heard from sidecars all the time, asked
// nobody, and never learnt of each other.
BOOST_AUTO_TEST_CASE(restarted_gateways_know_each_other_within_seconds) {
  bool Passed = rc::check([] {
    int Gateways = *rc::gen::inRange(2, 12);
    int Domains = *rc::gen::inRange(1, 4);
    Fleet F(Gateways, *rc::gen::inRange(1, 12), Domains,
            *rc::gen::arbitrary<unsigned>());
    F.run(seconds(3));
    for (int Restarts = *rc::gen::inRange(1, 4); Restarts > 0; --Restarts) {
      std::set<std::string> Hit;
      bool All = *rc::gen::arbitrary<bool>();
      for (const std::string &Ip : F.gateways())
        if (All || *rc::gen::arbitrary<bool>())
          Hit.insert(Ip);
      F.restart(Hit);
      F.run(milliseconds(100 * *rc::gen::inRange(1, 30)));
    }
    F.run(Downtime + seconds(4));
    RC_ASSERT(F.fewestKnown() == static_cast<std::size_t>(Gateways));
  });
  BOOST_TEST(Passed);
}

// Guards against sidecars that send no reports to gateways of other failure
// domains, because it is long ago that they have heard of them.
BOOST_AUTO_TEST_CASE(processes_of_a_large_fleet_always_count_as_live) {
  constexpr int Gateways = 148;
  constexpr int Sidecars = 90;
  Fleet F(Gateways, Sidecars, 5, 1);
  F.run(seconds(5));
  std::size_t Fewest = Gateways + Sidecars;
  for (int I = 0; I < 50; ++I) {
    F.run(Tick);
    Fewest = std::min(Fewest, F.fewestLive());
  }
  BOOST_TEST(Fewest == Gateways + Sidecars - 1U);
}

// What is asked besides must not grow with the fleet.
BOOST_AUTO_TEST_CASE(large_fleet_restarted_at_once_finds_itself) {
  Fleet F(148, 90, 5, 1);
  F.run(seconds(2));
  F.restart(F.gateways());
  F.run(Downtime + seconds(4));
  BOOST_TEST(F.fewestKnown() == 148U);
  BOOST_TEST_MESSAGE(
      "most replies of one process in 8.5 s: " << F.mostReplies());
}

BOOST_AUTO_TEST_SUITE_END()
