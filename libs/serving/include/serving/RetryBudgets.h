#ifndef ROSEMARYLANE_SERVING_RETRY_BUDGETS_H
#define ROSEMARYLANE_SERVING_RETRY_BUDGETS_H

#include "core/BootClock.h"
#include "serving/GatewayCensus.h"
#include "serving/RetryShare.h"

#include <map>
#include <optional>
#include <string>

namespace rosemarylane::serving {

/// One gateway's shares of the fleet's retry budgets, which each service has
/// one of.
///
/// The extra retries are divided equally among the gateways. Each can make only
/// whole retries; rendezvous hashing says which of them round up, because
/// rounded up by all, the parts of a large fleet would add up to more. A share
/// is made when the first request for its service comes. Not thread-safe.
class RetryBudgets {
public:
  /// @param FleetBudget budget of the fleet for each service.
  /// @param ProcessStart an earlier process on this host may have sent retries
  /// until then.
  RetryBudgets(RetryShare::Settings FleetBudget, core::BootTime ProcessStart)
      : FleetBudget(FleetBudget), ProcessStart(ProcessStart) {}

  /// Sets the gateways that divide the extra retries, for all services, also
  /// those whose first request is still to come. Call it at least once a
  /// window.
  /// @param Known empty if this process can't tell; it then has no part.
  void setGateways(const std::string &Self, std::optional<GatewayFleet> Known,
                   core::BootTime Now);

  /// @return this gateway's share of the retry budget for \p Service.
  RetryShare &share(const std::string &Service);

private:
  RetryShare::Part partFor(const std::string &Service) const;

  /// Fraction of `ExtraRetries` that the gateways spend; the rest is a reserve
  /// for retries that arrive after the end of the process that sent them.
  static constexpr double UsableFraction = 0.8;

  RetryShare::Settings FleetBudget;
  core::BootTime ProcessStart;
  std::string Self;
  /// Empty while this process has no part of the extra retries.
  std::optional<GatewayFleet> Gateways;
  std::map<std::string, RetryShare> Shares;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_RETRY_BUDGETS_H
