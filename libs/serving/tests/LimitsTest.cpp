#include "serving/AdmissionQueue.h"
#include "serving/RetryBudgetShare.h"
#include "serving/VersionDeadlines.h"
#include "serving/WarmupRateLimiter.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <vector>

using namespace rosemarylane;
using namespace rosemarylane::serving;
using std::chrono::milliseconds;

namespace {
const core::BootTime Start = core::BootTime(std::chrono::hours(1));
} // namespace

BOOST_AUTO_TEST_SUITE(limits)

BOOST_AUTO_TEST_CASE(cold_target_gets_no_more_than_it_bears_in_any_second) {
  // Load pattern: three gateways find a cold target empty and press as hard as
  // they can.
  constexpr double Rate = 36;
  constexpr double Bearable = Rate * 1.5 + 5;
  std::vector<WarmupRateLimiter> Gateways(3);
  std::deque<core::BootTime> Sent;
  std::size_t Naive = 0;
  for (int Ms = 0; Ms < 3000; ++Ms) {
    core::BootTime Now = Start + milliseconds(Ms);
    for (WarmupRateLimiter &G : Gateways) {
      ++Naive;
      if (G.tryAcquire(Rate, Gateways.size(), Now))
        Sent.push_back(Now);
    }
    while (!Sent.empty() && Now - Sent.front() >= milliseconds(1000))
      Sent.pop_front();
    BOOST_REQUIRE(Sent.size() <= Bearable);
  }
  BOOST_TEST(Sent.size() >= Rate * 0.8);
  BOOST_TEST(Naive > Bearable);
}

BOOST_AUTO_TEST_CASE(retries_of_all_gateways_stay_within_the_fleets_budget) {
  // Load pattern: every send fails and everybody wants to send again.
  constexpr std::size_t Gateways = 9;
  constexpr int PerSecond = 17;
  RetryBudgetShare::Settings Fleet{0.2, 106, milliseconds(10000)};
  std::vector<RetryBudgetShare> Shares(Gateways, RetryBudgetShare(Fleet));
  for (RetryBudgetShare &S : Shares)
    S.setGateways(Gateways);
  std::deque<core::BootTime> Repeats;
  std::size_t Most = 0;
  for (int Ms = 0; Ms < 40000; Ms += 1000 / PerSecond) {
    core::BootTime Now = Start + milliseconds(Ms);
    for (RetryBudgetShare &S : Shares) {
      S.recordFirstAttempt();
      while (S.tryAcquireRetry(Now))
        Repeats.push_back(Now);
    }
    while (!Repeats.empty() && Now - Repeats.front() >= Fleet.Window)
      Repeats.pop_front();
    Most = std::max(Most, Repeats.size());
  }
  double Allowed = 0.2 * PerSecond * 10 * Gateways + 106;
  BOOST_TEST(static_cast<double>(Most) <= Allowed);
  BOOST_TEST(static_cast<double>(Most) >= Allowed * 0.5);
}

namespace {

constexpr milliseconds InForce{8000};
constexpr milliseconds Contact{3000};

/// @return the bound of \p Version among \p Bounds.
std::optional<core::BootTime>
boundOf(const std::vector<VersionDeadlines::Bound> &Bounds,
        std::uint64_t Version) {
  for (const VersionDeadlines::Bound &B : Bounds)
    if (B.Version == Version)
      return B.Deadline;
  return std::nullopt;
}

/// @return the deadline of the first version that a process learns of.
core::BootTime deadline(std::optional<core::BootTime> Unchanged,
                        core::BootTime Learnt) {
  VersionDeadlines Known({InForce, Contact});
  return *boundOf(Known.recordVersion("m", 1, Unchanged, Unchanged, Learnt), 1);
}

} // namespace

BOOST_AUTO_TEST_CASE(deadline_of_a_version_learnt_late) {
  // Learnt at once: counted from the last proof that it had not been named.
  BOOST_TEST((deadline(Start, Start + milliseconds(700)) == Start + InForce));
  // Cut off for long: not before it is back in contact.
  auto Learnt = Start + milliseconds(9000);
  BOOST_TEST((deadline(Start, Learnt) == Learnt + Contact));
  // Just started, so it may be due already.
  BOOST_TEST((deadline(std::nullopt, Learnt) == Learnt));
}

// Seen on a played day (scale-1 of tankard-share): a gateway that started after
// two versions had been named 3 s apart learnt from a peer when the second was
// named, and sent to targets with the version before the first until then.
BOOST_AUTO_TEST_CASE(a_started_process_assumes_that_it_missed_a_version) {
  VersionDeadlines Known({InForce, Contact});
  auto Started = Start + milliseconds(4800);
  auto Second = Start + milliseconds(3000);
  auto Bounds =
      Known.recordVersion("m", 3, std::nullopt, std::nullopt, Started);
  BOOST_TEST((boundOf(Bounds, 2) == Started));
  // A peer knows when the newest one was named; nobody says it of the other.
  Bounds =
      Known.recordVersion("m", 3, std::nullopt, Second, Started + InForce / 10);
  BOOST_TEST(!boundOf(Bounds, 2).has_value());
  BOOST_TEST((boundOf(Bounds, 3) == Second + InForce));
}

BOOST_AUTO_TEST_CASE(
    a_cut_off_process_takes_a_missed_version_for_as_old_as_it_may) {
  VersionDeadlines Known({InForce, Contact});
  Known.recordVersion("m", 1, Start, Start, Start);
  auto Learnt = Start + milliseconds(5000);
  auto Second = Start + milliseconds(4000);
  auto Bounds = Known.recordVersion("m", 3, Start, Second, Learnt);
  BOOST_TEST((boundOf(Bounds, 2) == Start + InForce));
  BOOST_TEST((boundOf(Bounds, 3) == Second + InForce));
}

BOOST_AUTO_TEST_CASE(
    a_deadline_does_not_move_with_every_change_of_the_records) {
  VersionDeadlines Known({InForce, Contact});
  auto Learnt = Start + milliseconds(9000);
  Known.recordVersion("m", 2, Start, Start, Learnt);
  auto Later = Learnt + milliseconds(2000);
  BOOST_TEST(Known.recordVersion("m", 2, Later, Start, Later).empty());
  BOOST_TEST(Known.recordVersion("m", 1, Later, Later, Later).empty());
}

BOOST_AUTO_TEST_CASE(line_starts_the_most_urgent_first) {
  AdmissionQueue Line(4);
  std::vector<int> Started;
  int Free = 0;
  auto Join = [&](std::uint32_t Priority, int Name) {
    return Line.enqueue(Priority, [&Started, &Free, Name] {
      if (Free == 0)
        return false;
      --Free;
      Started.push_back(Name);
      return true;
    });
  };
  auto A = Join(2, 1);
  auto B = Join(1, 2);
  auto C = Join(1, 3);
  Free = 2;
  Line.dispatch();
  BOOST_TEST(Started == (std::vector<int>{2, 3}),
             boost::test_tools::per_element());
  BOOST_TEST(Line.size() == 1U);
}

BOOST_AUTO_TEST_CASE(full_line_turns_away) {
  AdmissionQueue Line(1);
  auto First = Line.enqueue(0, [] { return false; });
  BOOST_TEST(First != nullptr);
  BOOST_TEST(Line.enqueue(0, [] { return false; }) == nullptr);
  First.reset();
  BOOST_TEST(Line.enqueue(0, [] { return false; }) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
