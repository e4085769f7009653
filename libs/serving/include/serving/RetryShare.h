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
/// wants to retry. In any window the fleet may make `Ratio` retries per request
/// plus `ExtraRetries`. A token allows one retry. A gateway earns tokens
/// in two ways: with each of its first attempts, in proportion to `Ratio`, and
/// over time, in proportion to an equal share of `ExtraRetries`. Thus the
/// fleet's limit holds without a coordinator. Value type without a clock of its
/// own; not thread-safe.
class RetryShare {
public:
  struct Settings {
    /// Retries per first attempt.
    double Ratio = 0.2;
    /// Retries per window that are allowed regardless of the number of
    /// requests.
    double ExtraRetries = 0;
    std::chrono::milliseconds Window{10000};
  };

  explicit RetryShare(Settings FleetBudget) : FleetBudget(FleetBudget) {}

  /// @param Gateways number of gateways that may be sending, partitioned ones
  /// included.
  void setGatewayCount(std::size_t Gateways) {
    GatewayCount = static_cast<double>(std::max<std::size_t>(Gateways, 1));
  }

  /// Records that a request is sent for the first time, which earns tokens.
  void recordFirstAttempt() {
    Tokens = std::min(maxTokens(), Tokens + FleetBudget.Ratio * UsableFraction);
  }

  /// @return whether `tryAcquireRetry` would succeed.
  [[nodiscard]] bool canRetry(core::BootTime Now) {
    refill(Now);
    return Tokens >= 1;
  }

  /// @return whether a retry may be made; its token is then taken.
  [[nodiscard]] bool tryAcquireRetry(core::BootTime Now) {
    if (!canRetry(Now))
      return false;
    Tokens -= 1;
    return true;
  }

private:
  /// Fraction of the budget that gateways spend. On slow links, retries that
  /// are sent in different windows may arrive at the targets within one window;
  /// the rest of the budget is a reserve for these.
  static constexpr double UsableFraction = 0.8;
  /// Fraction of `ExtraRetries` that may be spent in one burst. A full bucket
  /// and the refill of a window can be spent within one window; together they
  /// make up `UsableFraction`.
  static constexpr double BurstFraction = 0.35;
  /// Fraction of `ExtraRetries` that accrues over a window.
  static constexpr double RefillFraction = 0.45;

  double maxTokens() const {
    return std::max(1.0,
                    FleetBudget.ExtraRetries * BurstFraction / GatewayCount);
  }

  void refill(core::BootTime Now) {
    double PerSecond =
        FleetBudget.ExtraRetries * RefillFraction / GatewayCount /
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
