#include "routing/Quarantine.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace rosemarylane::routing;
using rosemarylane::core::Digest;
using rosemarylane::core::TimePoint;
using Status = Quarantine::Status;

namespace {

Digest request(int Number) { return Digest::of(std::to_string(Number)); }

} // namespace

BOOST_AUTO_TEST_SUITE(quarantine)

BOOST_AUTO_TEST_CASE(agrees_with_sets_however_incidents_arrive) {
  BOOST_TEST(rc::check("repeated, reordered and exchanged incidents", [] {
    std::vector<Quarantine::Incident> Happened;
    int Count = *rc::gen::inRange(0, 30);
    for (int I = 0; I < Count; ++I)
      Happened.push_back({request(*rc::gen::inRange(0, 6)),
                          static_cast<std::uint64_t>(*rc::gen::inRange(0, 5))});
    std::map<Digest, std::set<std::uint64_t>> Naive;
    for (const auto &Report : Happened)
      Naive[Report.Request].insert(Report.Death);

    // Two processes learn of the deaths in different orders, then exchange what
    // they know.
    Quarantine A;
    Quarantine B;
    for (const auto &Report : Happened)
      (*rc::gen::arbitrary<bool>() ? A : B).add(Report, TimePoint());
    for (const auto &Report : A.incidents())
      B.add(Report, TimePoint());
    for (const auto &Report : B.incidents())
      A.add(Report, TimePoint());
    for (int I = 0; I < 6; ++I) {
      std::size_t Deaths = Naive[request(I)].size();
      Status Expected = Deaths == 0   ? Status::Clear
                        : Deaths == 1 ? Status::Suspect
                                      : Status::Quarantined;
      RC_ASSERT(A.statusOf(request(I)) == Expected);
      RC_ASSERT(B.statusOf(request(I)) == Expected);
    }
  }));
}

BOOST_AUTO_TEST_CASE(one_death_reported_repeatedly_counts_once) {
  Quarantine Q;
  std::uint64_t Death = deathId("agent-1", 7, 1);
  BOOST_TEST(Q.add({request(1), Death}, TimePoint()));
  BOOST_TEST(!Q.add({request(1), Death}, TimePoint()));
  BOOST_TEST((Q.statusOf(request(1)) == Status::Suspect));
  BOOST_TEST(deathId("agent-1", 7, 2) != Death);
  BOOST_TEST(deathId("agent-1", 8, 1) != Death);
}

BOOST_AUTO_TEST_CASE(forgets_after_the_retention) {
  Quarantine Q;
  TimePoint Start;
  Q.add({request(1), 1}, Start);
  Q.add({request(1), 2}, Start + std::chrono::minutes(10));
  Q.expire(Start + std::chrono::minutes(39));
  BOOST_TEST((Q.statusOf(request(1)) == Status::Quarantined));
  Q.expire(Start + std::chrono::minutes(40));
  BOOST_TEST((Q.statusOf(request(1)) == Status::Clear));
  BOOST_TEST(Q.digest() == 0u);
}

BOOST_AUTO_TEST_CASE(bounded_and_drops_old_suspects_first) {
  Quarantine::Settings Config;
  Config.Capacity = 3;
  Quarantine Q(Config);
  TimePoint Start;
  Q.add({request(0), 1}, Start);
  Q.add({request(0), 2}, Start);
  for (int I = 1; I < 10; ++I)
    Q.add({request(I), 9}, Start + std::chrono::seconds(I));
  BOOST_TEST(Q.size() == 3u);
  BOOST_TEST((Q.statusOf(request(0)) == Status::Quarantined));
  BOOST_TEST((Q.statusOf(request(9)) == Status::Suspect));
}

BOOST_AUTO_TEST_SUITE_END()
