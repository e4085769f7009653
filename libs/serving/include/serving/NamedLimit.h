#ifndef ROSEMARYLANE_SERVING_NAMED_LIMIT_H
#define ROSEMARYLANE_SERVING_NAMED_LIMIT_H

#include "core/BootClock.h"
#include "serving/RateShare.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarylane::serving {

/// The limit that one target names in its answers: the requests a second that
/// it takes from all gateways together, for as long as it says so.
///
/// Only some gateways send to a target with a limit, at most as many as it
/// takes requests in a second: with a small share for each of hundreds of
/// gateways, the one request that each may always send would add up to far more
/// than the limit. Rendezvous hashing picks them, so that all gateways agree
/// and each gets some of the targets. Value type without a clock of its own;
/// not thread-safe.
class NamedLimit {
public:
  /// A limit that the target has not confirmed for longer is dropped. Gateways
  /// that do not send to the target hear of it from the others.
  static constexpr std::chrono::seconds Lifetime{10};

  /// Takes what the target has said.
  /// @param PerSecond empty if the target named no limit.
  /// @param SaidAt when the answer came that said so. What is older than what
  /// is known is ignored.
  /// @return whether the limit has changed.
  bool update(std::optional<double> PerSecond, core::BootTime SaidAt);

  /// Sets the gateways that may be sending, this one included.
  void setGateways(std::string_view TargetName, std::string_view Self,
                   const std::vector<std::string> &Names);

  /// @return the limit, if the target has one.
  std::optional<double> perSecond(core::BootTime Now) const;
  /// @return when the target last said what it takes.
  core::BootTime saidAt() const { return SaidAt; }

  /// @return whether this gateway may send a request to the target.
  bool canAcquire(core::BootTime Now);
  /// Takes the token of a request, if there is a limit.
  void acquire(core::BootTime Now);

private:
  std::size_t senderCount() const;

  std::optional<double> Limit;
  core::BootTime SaidAt{};
  /// Gateways that come before this one for the target.
  std::size_t Rank = 0;
  std::size_t GatewayCount = 1;
  RateShare Share;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_NAMED_LIMIT_H
