#ifndef ROSEMARYLANE_SERVING_RATE_SHARE_H
#define ROSEMARYLANE_SERVING_RATE_SHARE_H

#include "core/BootClock.h"

#include <algorithm>

namespace rosemarylane::serving {

/// Token bucket for one gateway's share of a rate that a target takes from all
/// gateways together.
///
/// A cold target takes only a limited rate of requests (`Service::WarmupRate`),
/// and a target in need names a limit of its own (`NamedLimit`). Either looks
/// free, so every gateway finds it the least loaded at the same time. Each of
/// the gateways that may send to it has an equal share of the rate, so that the
/// total holds without a coordinator. The bucket starts empty, so that a
/// gateway that has just started has no burst. Value type without a clock of
/// its own; not thread-safe.
class RateShare {
public:
  /// @param Rate requests per second that all gateways together may send.
  /// @param GatewayCount number of gateways that share the rate; at least 1.
  /// @return whether one request may be sent; its token is then taken.
  [[nodiscard]] bool tryAcquire(double Rate, std::size_t GatewayCount,
                                core::BootTime Now) {
    if (!canAcquire(Rate, GatewayCount, Now))
      return false;
    Tokens -= 1;
    return true;
  }

  /// @return whether `tryAcquire` would succeed.
  bool canAcquire(double Rate, std::size_t GatewayCount, core::BootTime Now) {
    refill(Rate / static_cast<double>(std::max<std::size_t>(GatewayCount, 1)),
           Now);
    return Tokens >= 1;
  }

private:
  /// Maximum burst of one gateway. It keeps the combined bursts of all gateways
  /// far below what a target tolerates: for a cold one 1.5 times the rate plus
  /// 5 requests in any second (`cold_target_rate_holds_in_any_second`).
  static constexpr double MaxTokens = 1.5;

  void refill(double PerSecond, core::BootTime Now) {
    if (LastRefill != core::BootTime()) {
      double Seconds = std::chrono::duration<double>(Now - LastRefill).count();
      Tokens = std::min(MaxTokens, Tokens + PerSecond * Seconds);
    }
    LastRefill = Now;
  }

  core::BootTime LastRefill{};
  double Tokens = 0;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_RATE_SHARE_H
