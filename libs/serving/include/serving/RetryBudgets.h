#ifndef ROSEMARYLANE_SERVING_RETRY_BUDGETS_H
#define ROSEMARYLANE_SERVING_RETRY_BUDGETS_H

#include "serving/RetryShare.h"

#include <cstddef>
#include <map>
#include <string>

namespace rosemarylane::serving {

/// One gateway's shares of the fleet's retry budgets, which each service has
/// one of.
///
/// A share is made when the first request for its service comes. Not
/// thread-safe.
class RetryBudgets {
public:
  /// @param FleetBudget budget of the fleet for each service.
  explicit RetryBudgets(RetryShare::Settings FleetBudget)
      : FleetBudget(FleetBudget) {}

  /// As `RetryShare::setGatewayCount`, for all services, also those whose first
  /// request is still to come.
  void setGatewayCount(std::size_t Gateways) {
    GatewayCount = Gateways;
    for (auto &[Service, Share] : Shares)
      Share.setGatewayCount(Gateways);
  }

  /// @return this gateway's share of the retry budget for \p Service.
  RetryShare &share(const std::string &Service) {
    auto [Entry, Inserted] = Shares.try_emplace(Service, FleetBudget);
    if (Inserted)
      Entry->second.setGatewayCount(GatewayCount);
    return Entry->second;
  }

private:
  RetryShare::Settings FleetBudget;
  std::size_t GatewayCount = 1;
  std::map<std::string, RetryShare> Shares;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_RETRY_BUDGETS_H
