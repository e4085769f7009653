#include "serving/NamedLimit.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <rapidcheck.h>

using namespace std::chrono_literals;
using rosemarylane::core::BootTime;
using rosemarylane::serving::NamedLimit;

namespace {

const BootTime Start{1h};

std::vector<std::string> gatewayNames(std::size_t Count) {
  std::vector<std::string> Names;
  for (std::size_t I = 0; I < Count; ++I)
    Names.push_back("10.0.0." + std::to_string(I));
  return Names;
}

std::vector<NamedLimit> gateways(std::size_t Count, double PerSecond) {
  auto Names = gatewayNames(Count);
  std::vector<NamedLimit> Result(Count);
  for (std::size_t I = 0; I < Count; ++I) {
    Result[I].update(PerSecond, Start);
    Result[I].setGateways("target", Names[I], Names);
  }
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(named_limit)

BOOST_AUTO_TEST_CASE(total_holds_for_any_number_of_gateways) {
  BOOST_TEST(rc::check([] {
    double Limit = *rc::gen::inRange(1, 300) / 10.0;
    auto Count = *rc::gen::inRange<std::size_t>(1, 321);
    // Gateways have requests all the time, or only now and then together.
    bool InBursts = *rc::gen::arbitrary<bool>();
    auto All = gateways(Count, Limit);
    std::deque<BootTime> Recent;
    std::size_t Total = 0;
    for (auto After = 0ms; After < 9s; After += 50ms) {
      BootTime Now = Start + After;
      bool Idle = InBursts && After % 3s < 2500ms;
      for (NamedLimit &Gateway : All) {
        if (Idle || !Gateway.canAcquire(Now))
          continue;
        Gateway.acquire(Now);
        Recent.push_back(Now);
        ++Total;
      }
      while (!Recent.empty() && Now - Recent.front() > 4s)
        Recent.pop_front();
      // The users' bound for any 4 s.
      RC_ASSERT(static_cast<double>(Recent.size()) <= 1.5 * Limit * 4 + 5);
    }
    if (!InBursts)
      RC_ASSERT(static_cast<double>(Total) >= Limit * 9 * 0.8 - 2);
  }));
}

BOOST_AUTO_TEST_CASE(each_gateway_gets_some_of_the_targets) {
  auto Names = gatewayNames(40);
  std::size_t Targets = 0;
  for (int I = 0; I < 200; ++I) {
    NamedLimit Own;
    Own.update(4, Start);
    Own.setGateways("target" + std::to_string(I), Names[7], Names);
    (void)Own.canAcquire(Start);
    Targets += Own.canAcquire(Start + 2s) ? 1 : 0;
  }
  // A tenth of the gateways send to each target.
  BOOST_TEST(Targets >= 8U);
  BOOST_TEST(Targets <= 40U);
}

BOOST_AUTO_TEST_CASE(limit_ends_when_none_is_named_or_nothing_is_heard) {
  NamedLimit Limit;
  BOOST_TEST(Limit.canAcquire(Start));
  BOOST_TEST(Limit.update(2, Start));
  BOOST_TEST(!Limit.canAcquire(Start));
  // What is older says nothing.
  BOOST_TEST(!Limit.update(std::nullopt, Start - 1s));
  BOOST_TEST(Limit.perSecond(Start).has_value());
  BOOST_TEST(Limit.update(std::nullopt, Start + 1s));
  BOOST_TEST(Limit.canAcquire(Start + 1s));
  Limit.update(2, Start + 2s);
  BOOST_TEST(!Limit.perSecond(Start + 2s + NamedLimit::Lifetime).has_value());
}

BOOST_AUTO_TEST_CASE(limit_of_none_or_of_many_is_kept_as_named) {
  auto None = gateways(3, 0);
  for (NamedLimit &Gateway : None)
    BOOST_TEST(!Gateway.canAcquire(Start + 9s));
  auto Many = gateways(3, 1e300);
  (void)Many[0].canAcquire(Start);
  BOOST_TEST(Many[0].canAcquire(Start + 1ms));
}

BOOST_AUTO_TEST_SUITE_END()
