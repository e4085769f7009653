#ifndef ROSEMARYLANE_SERVING_RETRY_BUDGET_SHARE_H
#define ROSEMARYLANE_SERVING_RETRY_BUDGET_SHARE_H

#include "core/BootClock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace rosemarylane::serving {

/// One gateway's part of the fleet's budget of repeated sends to a service.
///
/// Load pattern: targets fail or refuse while callers keep coming, and every
/// gateway wants to send again. In any window the fleet may repeat `Ratio` of
/// its requests plus `Extra`. Each gateway earns its part of the ratio from its
/// own first sends, and an equal part of the extra over time, so that the sum
/// holds without a coordinator. A value type.
class RetryBudgetShare {
public:
  struct Settings {
    double Ratio = 0.2;
    double Extra = 0;
    std::chrono::milliseconds Window{10000};
  };

  explicit RetryBudgetShare(Settings FleetBudget) : FleetBudget(FleetBudget) {}

  /// @param Gateways gateways that could be sending, cut-off ones included.
  void setGateways(std::size_t Gateways) {
    GatewayCount = static_cast<double>(std::max<std::size_t>(Gateways, 1));
  }

  void recordFirstAttempt() {
    Tokens = std::min(maxTokens(), Tokens + FleetBudget.Ratio * UsableFraction);
  }

  [[nodiscard]] bool tryAcquireRetry(core::BootTime Now) {
    refill(Now);
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  /// Part of the budget that is used: what is counted at a target differs from
  /// what was sent while links are slow.
  static constexpr double UsableFraction = 0.8;
  /// Parts of the extra that may be spent at once, and over the window.
  static constexpr double BurstFraction = 0.35;
  static constexpr double RefillFraction = 0.45;

  double maxTokens() const {
    return std::max(1.0, FleetBudget.Extra * BurstFraction / GatewayCount);
  }

  void refill(core::BootTime Now) {
    double PerSecond =
        FleetBudget.Extra * RefillFraction / GatewayCount /
        std::chrono::duration<double>(FleetBudget.Window).count();
    if (LastRefill != core::BootTime())
      Tokens = std::min(
          maxTokens(),
          Tokens + PerSecond *
                       std::chrono::duration<double>(Now - LastRefill).count());
    else
      Tokens = maxTokens();
    LastRefill = Now;
  }

  Settings FleetBudget;
  double GatewayCount = 1;
  double Tokens = 0;
  core::BootTime LastRefill{};
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_RETRY_BUDGET_SHARE_H
