#include "gateway/FleetCounts.h"

#include "telemetry/Log.h"

#include <algorithm>
#include <map>
#include <set>

namespace rosemarylane {

using core::BootClock;
using core::BootTime;

namespace {

/// Time after the start for which at least
/// `GatewayCensus::MinAssumedPerDomain` gateways are assumed in this failure
/// domain, because the others may not have been heard from yet.
constexpr std::chrono::milliseconds GatewayDiscoveryPeriod{4000};

/// @return a census for the gateway that has these settings.
serving::GatewayCensus gatewayCensus(const NodeSettings &Settings) {
  std::set<core::FailureDomainId> Domains;
  for (const auto &[Domain, Region] : Settings.RegionOf)
    Domains.insert(Domain);
  bool HasSeeds =
      std::any_of(Settings.Seeds.begin(), Settings.Seeds.end(),
                  [&](const std::string &Seed) { return Seed != Settings.Ip; });
  return {{Settings.Ip, Settings.FailureDomain}, std::move(Domains), HasSeeds};
}

} // namespace

FleetCounts::FleetCounts(GatewayContext &Context)
    : Context(Context), StartedAt(BootClock::now()),
      Census(gatewayCensus(Context.Settings)) {}

void FleetCounts::update(const serving::PeerTable &Peers) {
  BootTime Now = BootClock::now();
  const NodeSettings &Settings = Context.Settings;
  Census.update(Peers, Now);
  bool Discovering = Now - StartedAt < GatewayDiscoveryPeriod;
  std::size_t Least =
      Discovering ? serving::GatewayCensus::MinAssumedPerDomain : 1;
  std::map<core::FailureDomainId, std::size_t> InDomain;
  for (const auto &[Domain, Region] : Settings.RegionOf)
    InDomain[Domain] = Peers.gatewayCount(Domain, Now);
  std::size_t &InOwnDomain = InDomain[Settings.FailureDomain];
  InOwnDomain = std::max(InOwnDomain, Least);
  Context.Targets.setGatewayCount(std::move(InDomain));
  Context.Targets.setColdSharers(std::max(Census.inOwnDomain(), Least));
  Context.Targets.setGateways(Settings.Ip, Peers.gatewayNames(Now));
  std::optional<serving::GatewayFleet> Fleet = Census.fleet();
  Context.RetryBudgets.setGateways(Settings.Ip, Fleet, Now);
  if (Fleet)
    reportBudgetSharers(*Fleet);
}

void FleetCounts::reportBudgetSharers(const serving::GatewayFleet &Fleet) {
  Context.Metrics.setBudgetSharers(Fleet.Names.size(), Fleet.Assumed);
  if (Fleet.size() == BudgetSharers)
    return;
  BudgetSharers = Fleet.size();
  telemetry::log(telemetry::Level::Info, "gateways that share budgets",
                 {{"heard", std::int64_t(Fleet.Names.size())},
                  {"assumed", std::int64_t(Fleet.Assumed)}});
}

} // namespace rosemarylane
