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

/// Adds a death that \p To learns of as it happens.
void addNow(Quarantine &To, const Digest &Request, std::uint64_t Death,
            TimePoint Now) {
  To.add({Request, Death, Now}, Now);
}

/// Tells \p To all that \p From knows.
/// @return whether anything of it was unknown.
bool tell(const Quarantine &From, Quarantine &To, TimePoint Now) {
  bool Unknown = false;
  for (const auto &Report : From.incidents())
    Unknown |= To.add(Report, Now);
  return Unknown;
}

} // namespace

BOOST_AUTO_TEST_SUITE(quarantine)

BOOST_AUTO_TEST_CASE(agrees_with_sets_however_incidents_arrive) {
  BOOST_TEST(rc::check("repeated, reordered and exchanged incidents", [] {
    std::vector<Quarantine::Incident> Happened;
    int Count = *rc::gen::inRange(0, 30);
    for (int I = 0; I < Count; ++I)
      Happened.push_back({request(*rc::gen::inRange(0, 6)),
                          static_cast<std::uint64_t>(*rc::gen::inRange(0, 5)),
                          TimePoint()});
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
  BOOST_TEST(Q.add({request(1), Death, TimePoint()}, TimePoint()));
  BOOST_TEST(!Q.add({request(1), Death, TimePoint()}, TimePoint()));
  BOOST_TEST((Q.statusOf(request(1)) == Status::Suspect));
  BOOST_TEST(deathId("agent-1", 7, 2) != Death);
  BOOST_TEST(deathId("agent-1", 8, 1) != Death);
}

BOOST_AUTO_TEST_CASE(forgets_after_the_retention) {
  Quarantine Q;
  TimePoint Start;
  addNow(Q, request(1), 1, Start);
  addNow(Q, request(1), 2, Start + std::chrono::minutes(10));
  Q.expire(Start + std::chrono::minutes(39));
  BOOST_TEST((Q.statusOf(request(1)) == Status::Quarantined));
  Q.expire(Start + std::chrono::minutes(40));
  BOOST_TEST((Q.statusOf(request(1)) == Status::Clear));
  BOOST_TEST(Q.digest() == 0u);
}

BOOST_AUTO_TEST_CASE(forgotten_incidents_do_not_come_back_from_peers) {
  using namespace std::chrono_literals;
  Quarantine A;
  Quarantine B;
  TimePoint Start;
  addNow(A, request(1), 1, Start);
  addNow(A, request(1), 2, Start + 1min);
  BOOST_TEST(tell(A, B, Start + 2min));
  // A forgets first; B has not looked at its clock yet.
  TimePoint Now = Start + 31min;
  A.expire(Now);
  BOOST_TEST((A.statusOf(request(1)) == Status::Clear));
  BOOST_TEST(!tell(B, A, Now));
  BOOST_TEST((A.statusOf(request(1)) == Status::Clear));
  // B counts from the death, not from when it heard of it.
  B.expire(Now);
  BOOST_TEST((B.statusOf(request(1)) == Status::Clear));
}

BOOST_AUTO_TEST_CASE(a_late_process_learns_of_early_deaths_too) {
  using namespace std::chrono_literals;
  Quarantine A;
  Quarantine New;
  TimePoint Start;
  // Identifiers in the reverse of the order in time, and the other way round.
  addNow(A, request(1), 9, Start);
  addNow(A, request(1), 4, Start + 29min);
  addNow(A, request(2), 4, Start);
  addNow(A, request(2), 9, Start + 29min);
  BOOST_TEST(tell(A, New, Start + 35min));
  for (int I : {1, 2})
    BOOST_TEST((New.statusOf(request(I)) == Status::Quarantined));
  BOOST_TEST(New.digest() == A.digest());
}

BOOST_AUTO_TEST_CASE(bounded_and_drops_old_suspects_first) {
  Quarantine::Settings Config;
  Config.Capacity = 3;
  Quarantine Q(Config);
  TimePoint Start;
  addNow(Q, request(0), 1, Start);
  addNow(Q, request(0), 2, Start);
  for (int I = 1; I < 10; ++I)
    addNow(Q, request(I), 9, Start + std::chrono::seconds(I));
  BOOST_TEST(Q.size() == 3u);
  BOOST_TEST((Q.statusOf(request(0)) == Status::Quarantined));
  BOOST_TEST((Q.statusOf(request(9)) == Status::Suspect));
}

BOOST_AUTO_TEST_SUITE_END()
