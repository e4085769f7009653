#ifndef ROSEMARYLANE_SWARM_TOKEN_BUCKET_H
#define ROSEMARYLANE_SWARM_TOKEN_BUCKET_H

#include "core/Time.h"

#include <algorithm>
#include <cstdint>

namespace rosemarylane::swarm {

/// Paces a link: bytes may go while the balance is not negative.
///
/// Traffic that must not wait is taken from the balance as well, so weights
/// yield to it. Pure; not thread-safe.
class TokenBucket {
public:
  /// @param BytesPerSecond 0 for no limit.
  /// @param Burst bytes that may be saved up while the link is idle.
  TokenBucket(std::uint64_t BytesPerSecond, std::uint64_t Burst)
      : Rate(static_cast<double>(BytesPerSecond)),
        Burst(static_cast<double>(Burst)), Balance(this->Burst) {}

  /// @return whether the link is free now.
  bool ready(core::TimePoint Now) {
    refill(Now);
    return Rate == 0 || Balance >= 0;
  }

  /// Counts \p Bytes as sent; the balance may become negative.
  void take(std::uint64_t Bytes, core::TimePoint Now) {
    refill(Now);
    if (Rate > 0)
      Balance -= static_cast<double>(Bytes);
  }

  /// Takes back \p Bytes that were counted but not sent.
  void refund(std::uint64_t Bytes, core::TimePoint Now) {
    refill(Now);
    if (Rate > 0)
      Balance = std::min(Burst, Balance + static_cast<double>(Bytes));
  }

  /// Changes the rate; what was taken stays taken.
  void setRate(std::uint64_t BytesPerSecond, core::TimePoint Now) {
    refill(Now);
    Rate = static_cast<double>(BytesPerSecond);
  }

private:
  void refill(core::TimePoint Now) {
    if (Updated != core::TimePoint())
      Balance = std::min(
          Burst,
          Balance +
              Rate * std::chrono::duration<double>(Now - Updated).count());
    Updated = Now;
  }

  double Rate;
  double Burst;
  double Balance;
  core::TimePoint Updated{};
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_TOKEN_BUCKET_H
