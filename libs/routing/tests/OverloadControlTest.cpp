#include "routing/OverloadControl.h"
#include "routing/RequestQueue.h"
#include "routing/RetryBudget.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <rapidcheck.h>
#include <vector>

using namespace rosemarylane::routing;
using namespace rosemarylane::core;
using namespace std::chrono_literals;

namespace {

Workspace workspace(const std::string &Name, std::uint32_t Concurrency) {
  Workspace W;
  W.Name = WorkspaceId(Name);
  W.Concurrency = Concurrency;
  return W;
}

CatalogueEntry entry(const std::string &Name, TrafficClass Class) {
  CatalogueEntry E;
  E.Name = EntryName(Name);
  E.Class = Class;
  return E;
}

} // namespace

BOOST_AUTO_TEST_SUITE(overload_control)

BOOST_AUTO_TEST_CASE(
    retries_stay_within_a_tenth_of_first_attempts_plus_the_burst) {
  BOOST_TEST(rc::check("retries are bounded by the budget", [] {
    RetryBudget::Settings Config;
    RetryBudget Budget(Config);
    int First = 0;
    int Retries = 0;
    int Steps = *rc::gen::inRange(0, 2000);
    for (int I = 0; I < Steps; ++I) {
      if (*rc::gen::inRange(0, 4) == 0) {
        Budget.recordFirstAttempt();
        ++First;
      } else if (Budget.tryRetry()) {
        ++Retries;
      }
      RC_ASSERT(Retries <= 0.1 * First + Config.Burst);
    }
  }));
}

BOOST_AUTO_TEST_CASE(no_second_exceeds_the_burst_plus_the_rate) {
  BOOST_TEST(rc::check("token bucket against counting starts", [] {
    double PerSecond = *rc::gen::inRange(1, 50);
    RateLimit Rate;
    std::deque<TimePoint> Taken;
    TimePoint Now{1h};
    for (int I = 0; I < 500; ++I) {
      Now += std::chrono::milliseconds(*rc::gen::inRange(0, 60));
      if (!Rate.tryAcquire(PerSecond, Now))
        continue;
      Taken.push_back(Now);
      while (Taken.front() <= Now - 1s)
        Taken.pop_front();
      // A burst of one second of the rate, plus the tokens added during the
      // second.
      RC_ASSERT(Taken.size() <= 2 * PerSecond + 1);
    }
  }));
}

BOOST_AUTO_TEST_CASE(limits_hold_over_random_histories) {
  BOOST_TEST(rc::check("workspace and class limits", [] {
    OverloadControl::Settings Config;
    Config.Capacity = 20;
    OverloadControl Control(Config);
    std::vector<Workspace> Owners{workspace("a", 3), workspace("b", 0),
                                  workspace("c", 12)};
    std::vector<int> Counts(Owners.size());
    int Steps = *rc::gen::inRange(0, 300);
    for (int I = 0; I < Steps; ++I) {
      auto Which = *rc::gen::inRange<std::size_t>(0, Owners.size());
      if (*rc::gen::inRange(0, 3) == 0) {
        if (Counts[Which] > 0) {
          Control.finished(Owners[Which].Name);
          --Counts[Which];
        }
        continue;
      }
      auto Class = *rc::gen::inRange(0, 3);
      CatalogueEntry E = entry("e", static_cast<TrafficClass>(Class));
      int Total = Counts[0] + Counts[1] + Counts[2];
      bool Room = Total < Config.ClassThreshold[Class] * Config.Capacity &&
                  (Owners[Which].Concurrency == 0 ||
                   Counts[Which] < static_cast<int>(Owners[Which].Concurrency));
      auto Refused = Control.tryAdmit(Owners[Which], E, 1, TimePoint());
      RC_ASSERT(!Refused.has_value() == Room);
      if (!Refused)
        ++Counts[Which];
      else
        RC_ASSERT(Refused->RetryAfter > 0ms);
    }
  }));
}

BOOST_AUTO_TEST_CASE(a_fleet_wide_rate_is_shared_among_entry_processes) {
  OverloadControl Control;
  CatalogueEntry E = entry("e", TrafficClass::Standard);
  E.Limit.RatePerSecond = 40;
  Workspace W = workspace("w", 0);
  int Started = 0;
  for (int Ms = 0; Ms < 10000; Ms += 5)
    if (!Control.tryAdmit(W, E, 4, TimePoint(std::chrono::milliseconds(Ms))))
      ++Started;
  BOOST_TEST(Started >= 100);
  BOOST_TEST(Started <= 111);
}

BOOST_AUTO_TEST_CASE(refuses_early_what_would_wait_too_long) {
  RequestQueue<int> Queue;
  CatalogueEntry E = entry("e", TrafficClass::Standard);
  E.Limit.Queue = 1000;
  TimePoint Now;
  // Ten starts per second.
  for (int I = 0; I < 20; ++I) {
    Now += 100ms;
    Queue.recordImmediateStart(E, Now);
  }
  int Taken = 0;
  for (int I = 0; I < 100; ++I)
    if (Queue.push(E, TrafficClass::Standard, Now + 1s, I, Now).empty())
      ++Taken;
  BOOST_TEST(Taken >= 9);
  BOOST_TEST(Taken <= 12);
  // A request of a higher class does not wait for lower ones.
  BOOST_TEST(
      Queue.push(E, TrafficClass::Interactive, Now + 1s, 100, Now).empty());
  std::vector<int> Order;
  Queue.dispatch(Now, [&](int Id) {
    Order.push_back(Id);
    return Order.size() < 3;
  });
  BOOST_TEST((Order == std::vector<int>{100, 0, 1}));
  // Two queued requests were started; the others are refused at their deadline.
  BOOST_TEST(Queue.size() == static_cast<std::size_t>(Taken + 1 - 2));
  BOOST_TEST(Queue.expire(Now + 1s).size() ==
             static_cast<std::size_t>(Taken + 1 - 2));
  BOOST_TEST(Queue.size() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
