#include "serving/LoadBalancer.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <random>
#include <rapidcheck.h>

using namespace rosemarylane;
using namespace rosemarylane::serving;
using std::chrono::microseconds;

namespace {

const core::BootTime Start = core::BootTime(std::chrono::hours(1));

core::FailureDomainId domain(std::size_t Number) {
  return core::FailureDomainId("domain-" + std::to_string(Number));
}

/// A fleet whose gateways, targets and evacuations change, and the load
/// balancer of one of its gateways.
struct Fleet {
  static constexpr std::size_t Domains = 3;

  Fleet() {
    Service Engine;
    Engine.Name = "engine";
    Engine.Engine.emplace();
    Config.Services.push_back(Engine);
    Config.index();
  }

  static LoadBalancer balancer() {
    LoadBalancerSettings Settings;
    Settings.OwnDomain = domain(0);
    for (std::size_t I = 0; I < Domains; ++I)
      Settings.RegionOf[domain(I)] = core::RegionId("region");
    return LoadBalancer(Settings);
  }

  void addTarget(std::size_t InDomain) {
    RegisteredTarget T;
    T.Id = TargetId("t" + std::to_string(++LastTarget));
    T.Service = "engine";
    T.Address = "10.0.0.1:" + std::to_string(LastTarget);
    T.FailureDomain = domain(InDomain);
    T.Slots = 64;
    T.StartTimeMs = 7;
    Registered.push_back(T);
  }

  /// Tells \p Balancer all that is known.
  void applyAll(LoadBalancer &Balancer) const {
    Balancer.setGatewayCount(Gateways);
    Balancer.setEvacuated(Evacuated);
    Balancer.setRegistered(Registered, Config, Start);
    for (const TargetIncarnation &T : Leaving)
      Balancer.recordLeaving(T, StatementSource::Sidecar, Start);
  }

  static AgentReport report(const RegisteredTarget &T) {
    AgentReport R;
    R.Address = T.Address;
    R.StartTimeMs = T.StartTimeMs;
    return R;
  }

  /// @return the requests that the gateway gives to its targets, all of which
  /// report that they are free.
  std::size_t requestsPlaced(LoadBalancer &Balancer) const {
    for (const RegisteredTarget &T : Registered)
      Balancer.updateFromReport(report(T), Start, 0);
    TargetRequirements Demand;
    Demand.Service = "engine";
    SelectionFailure Why{};
    std::vector<TargetId> Chosen;
    while (auto Target = Balancer.choose(Demand, Start, 0, Why))
      Chosen.push_back(Target->Id);
    for (const TargetId &Id : Chosen)
      Balancer.recordResult(Id, TargetFeedback::Abandoned, Start);
    return Chosen.size();
  }

  ServingConfig Config;
  std::map<core::FailureDomainId, std::size_t> Gateways;
  std::set<core::FailureDomainId> Evacuated;
  std::vector<RegisteredTarget> Registered;
  std::vector<TargetIncarnation> Leaving;
  std::size_t LastTarget = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_share)

BOOST_AUTO_TEST_CASE(share_follows_each_change_of_the_fleet) {
  BOOST_TEST(rc::check([] {
    Fleet F;
    LoadBalancer Balancer = Fleet::balancer();
    F.addTarget(0);
    F.Gateways[domain(0)] = 1;
    F.applyAll(Balancer);
    std::mt19937 Random(*rc::gen::arbitrary<std::uint32_t>());
    for (int Step = 0; Step < 20; ++Step) {
      std::size_t Where = Random() % Fleet::Domains;
      switch (Random() % 4) {
      case 0:
        F.addTarget(Where);
        Balancer.setRegistered(F.Registered, F.Config, Start);
        break;
      case 1:
        F.Gateways[domain(Where)] = Random() % 9 + 1;
        Balancer.setGatewayCount(F.Gateways);
        break;
      case 2:
        F.Evacuated = {domain(Where)};
        Balancer.setEvacuated(F.Evacuated);
        break;
      case 3:
        F.Leaving.push_back(
            F.Registered[Random() % F.Registered.size()].incarnation());
        Balancer.recordLeaving(F.Leaving.back(), StatementSource::Sidecar,
                               Start);
        break;
      }
      LoadBalancer Fresh = Fleet::balancer();
      F.applyAll(Fresh);
      RC_ASSERT(F.requestsPlaced(Balancer) == F.requestsPlaced(Fresh));
    }
  }));
}

// Each report walked all targets, and counted them anew for each failure
// domain: what it cost grew with the square of the fleet.
BOOST_AUTO_TEST_CASE(report_costs_the_same_at_any_size_of_the_fleet) {
  // At 1,600 targets that report five times a second, two fifths of what a
  // gateway's control work may take.
  constexpr microseconds TimeLimitForEach{2};
  constexpr std::size_t Targets = 1600;
  constexpr std::size_t Rounds = 5;
  Fleet F;
  for (std::size_t I = 0; I < Fleet::Domains; ++I)
    F.Gateways[domain(I)] = 100;
  for (std::size_t I = 0; I < Targets; ++I)
    F.addTarget(I % Fleet::Domains);
  LoadBalancer Balancer = Fleet::balancer();
  F.applyAll(Balancer);
  std::vector<AgentReport> Reports;
  for (const RegisteredTarget &T : F.Registered)
    Reports.push_back(Fleet::report(T));
  auto Begin = std::chrono::steady_clock::now();
  for (std::size_t I = 0; I < Rounds; ++I)
    for (const AgentReport &R : Reports)
      Balancer.updateFromReport(R, Start, 0);
  auto Each = (std::chrono::steady_clock::now() - Begin) / (Rounds * Targets);
  BOOST_TEST_MESSAGE(
      std::chrono::duration_cast<std::chrono::nanoseconds>(Each).count()
      << " ns a report");
  BOOST_TEST((Each < TimeLimitForEach));
}

BOOST_AUTO_TEST_SUITE_END()
