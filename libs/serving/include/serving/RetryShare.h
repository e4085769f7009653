#ifndef ROSEMARYLANE_SERVING_RETRY_SHARE_H
#define ROSEMARYLANE_SERVING_RETRY_SHARE_H

#include "core/BootClock.h"
#include "serving/SlidingCounts.h"

#include <chrono>
#include <cstdint>

namespace rosemarylane::serving {

/// Limits the retries of one gateway for one service, so that those of the
/// whole fleet stay within the fleet's budget.
///
/// When targets fail or refuse while requests keep arriving, every gateway
/// wants to retry. In any window the fleet may make `Ratio` retries per request
/// plus `ExtraRetries`. A gateway may make retries in proportion to the first
/// attempts that it made itself, which needs no knowledge of other processes,
/// and its own part of `ExtraRetries`. A retry counts until one window after
/// its end, because it may arrive at any time while its connection is open.
/// Value type without a clock of its own; not thread-safe.
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

  /// One gateway's part of what the fleet shares.
  struct Part {
    /// Retries of `Settings::ExtraRetries`; may be a fraction.
    double ExtraRetries = 0;
    /// What is added before the number of allowed retries is rounded down, in
    /// [0, 1). If it is spread evenly over the gateways, their allowed retries
    /// add up to what they would be without rounding.
    double RoundingOffset = 0;
  };

  explicit RetryShare(Settings FleetBudget)
      : FleetBudget(FleetBudget), FirstAttempts(FleetBudget.Window),
        EndedRetries(FleetBudget.Window) {}

  void setPart(Part Own) { OwnPart = Own; }

  /// Records that a request is sent for the first time.
  void recordFirstAttempt(core::BootTime Now) { FirstAttempts.record(Now); }

  /// @return whether `tryAcquireRetry` would succeed.
  [[nodiscard]] bool canRetry(core::BootTime Now) {
    return countedRetries(Now) < allowedRetries(Now);
  }

  /// @return whether a retry may be made. It is then counted, and
  /// `recordRetryEnd` must be called once for it.
  [[nodiscard]] bool tryAcquireRetry(core::BootTime Now) {
    if (!canRetry(Now))
      return false;
    ++OpenRetries;
    return true;
  }

  /// Records that a retry can't arrive at its target any more: it has arrived,
  /// its connection is closed, or it was not sent.
  void recordRetryEnd(core::BootTime Now) {
    --OpenRetries;
    EndedRetries.record(Now);
  }

private:
  /// @return the retries that count now.
  std::uint32_t countedRetries(core::BootTime Now) {
    return OpenRetries + EndedRetries.atMostInWindow(Now);
  }

  /// @return the retries that may count now.
  std::uint32_t allowedRetries(core::BootTime Now) {
    double FirstAttemptsSpent =
        SettledFraction * FirstAttempts.fewestInRecentWindows(Now) +
        RecentFraction * FirstAttempts.atLeastInWindow(Now);
    return static_cast<std::uint32_t>(OwnPart.ExtraRetries +
                                      OwnPart.RoundingOffset +
                                      FleetBudget.Ratio * FirstAttemptsSpent);
  }

  // A retry that arrives at T may be counted in any window that ends from T
  // until a window later. Call that window W, and the one before it V; V ended
  // in the last window before T. See docs/design/retry-budget.md.

  /// What is spent of the first attempts of V, which are at least
  /// `fewestInRecentWindows`.
  static constexpr double SettledFraction = 0.5;
  /// What is spent of the first attempts of the last window before T. They lie
  /// in V or W, and each may be spent for both: at most 0.5 + 2 x 0.2 = 0.9 in
  /// all. The rest is a reserve for first attempts that are recorded late.
  static constexpr double RecentFraction = 0.2;

  Settings FleetBudget;
  SlidingCounts FirstAttempts;
  SlidingCounts EndedRetries;
  /// Retries that may still arrive at their targets.
  std::uint32_t OpenRetries = 0;
  Part OwnPart;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_RETRY_SHARE_H
