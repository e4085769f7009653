#ifndef ROSEMARYLANE_SERVING_RETRY_SHARE_H
#define ROSEMARYLANE_SERVING_RETRY_SHARE_H

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
class RetryShare {
public:
  struct Settings {
    double Ratio = 0.2;
    double Extra = 0;
    std::chrono::milliseconds Window{10000};
  };

  explicit RetryShare(Settings Fleet) : Fleet(Fleet) {}

  /// @param Gateways gateways that could be sending, cut-off ones included.
  void setGateways(std::size_t Gateways) {
    Sharers = static_cast<double>(std::max<std::size_t>(Gateways, 1));
  }

  void firstSend() { Saved = std::min(cap(), Saved + Fleet.Ratio * Margin); }

  [[nodiscard]] bool tryRepeat(core::BootTime Now) {
    refill(Now);
    if (Saved < 1)
      return false;
    Saved -= 1;
    return true;
  }

private:
  /// Part of the budget that is used: what is counted at a target differs from
  /// what was sent while links are slow.
  static constexpr double Margin = 0.8;
  /// Parts of the extra that may be spent at once, and over the window.
  static constexpr double AtOnce = 0.35;
  static constexpr double OverTime = 0.45;

  double cap() const { return std::max(1.0, Fleet.Extra * AtOnce / Sharers); }

  void refill(core::BootTime Now) {
    double PerSecond = Fleet.Extra * OverTime / Sharers /
                       std::chrono::duration<double>(Fleet.Window).count();
    if (Last != core::BootTime())
      Saved = std::min(
          cap(), Saved + PerSecond *
                             std::chrono::duration<double>(Now - Last).count());
    else
      Saved = cap();
    Last = Now;
  }

  Settings Fleet;
  double Sharers = 1;
  double Saved = 0;
  core::BootTime Last{};
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_RETRY_SHARE_H
