#include "serving/RetryBudgets.h"

#include "core/Rendezvous.h"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace rosemarylane::serving {

void RetryBudgets::setGateways(const std::string &OwnName,
                               std::optional<GatewayFleet> Known,
                               core::BootTime Now) {
  // What an earlier process on this host sent counts for one window.
  if (Now - ProcessStart <= FleetBudget.Window)
    Known.reset();
  if (Known == Gateways && OwnName == Self)
    return;
  Self = OwnName;
  Gateways = std::move(Known);
  for (auto &[Service, Share] : Shares)
    Share.setPart(partFor(Service));
}

RetryShare &RetryBudgets::share(const std::string &Service) {
  auto [Entry, Inserted] = Shares.try_emplace(Service, FleetBudget);
  if (Inserted)
    Entry->second.setPart(partFor(Service));
  return Entry->second;
}

RetryShare::Part RetryBudgets::partFor(const std::string &Service) const {
  if (!Gateways)
    return {};
  auto Weight = [&](std::string_view Name) {
    return std::tuple(core::rendezvousWeight(Service, Name), Name);
  };
  auto Own = Weight(Self);
  auto Rank = std::count_if(
      Gateways->Names.begin(), Gateways->Names.end(),
      [&](const std::string &Name) { return Weight(Name) < Own; });
  auto Count = static_cast<double>(Gateways->size());
  return {FleetBudget.ExtraRetries * UsableFraction / Count,
          static_cast<double>(Rank) / Count};
}

} // namespace rosemarylane::serving
