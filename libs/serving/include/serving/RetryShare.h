#ifndef ROSEMARYLANE_SERVING_RETRY_SHARE_H
#define ROSEMARYLANE_SERVING_RETRY_SHARE_H

#include "core/BootClock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace rosemarylane::serving {

/// Token bucket for one gateway's share of the fleet's retry budget for a
/// service.
///
/// When targets fail or refuse while requests keep arriving, every gateway
/// wants to retry. In any window the fleet may retry `Ratio` of its requests
/// plus `Extra`. Each gateway earns tokens for the ratio with its own first
/// attempts and an equal share of the extra over time, so that the fleet's
/// limit holds without a coordinator. Value type without a clock of its own;
/// not thread-safe.
class RetryShare {
public:
  struct Settings {
    double Ratio = 0.2;
    double Extra = 0;
    std::chrono::milliseconds Window{10000};
  };

  explicit RetryShare(Settings FleetBudget) : FleetBudget(FleetBudget) {}

  /// @param Gateways number of gateways that may be sending, partitioned ones
  /// included.
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
  /// Fraction of the budget that is used. On slow links the retries that arrive
  /// at a target within a window differ from those sent within it.
  static constexpr double UsableFraction = 0.8;
  /// Fractions of `Extra` that may be spent in one burst and that accrue over a
  /// window.
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

#endif // ROSEMARYLANE_SERVING_RETRY_SHARE_H
