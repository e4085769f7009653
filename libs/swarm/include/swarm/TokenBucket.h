#ifndef ROSEMARYLANE_SWARM_TOKEN_BUCKET_H
#define ROSEMARYLANE_SWARM_TOKEN_BUCKET_H

#include "core/Time.h"

#include <algorithm>
#include <cstdint>

namespace rosemarylane::swarm {

/// Paces the use of a link: bytes may be sent while the balance is not
/// negative.
///
/// Usage: check `ready` before a transfer, then `take` its bytes. Traffic that
/// must not wait is taken without a check, so that paced traffic makes room for
/// it. Time is passed in with every call. Not thread-safe.
class TokenBucket {
public:
  /// @param BytesPerSecond the rate; 0 for no limit.
  /// @param Burst the maximum balance, in bytes, that an idle link accumulates.
  TokenBucket(std::uint64_t BytesPerSecond, std::uint64_t Burst)
      : Rate(static_cast<double>(BytesPerSecond)),
        Burst(static_cast<double>(Burst)), Balance(this->Burst) {}

  /// @return whether a transfer may start now.
  bool ready(core::TimePoint Now) {
    refill(Now);
    return Rate == 0 || Balance >= 0;
  }

  /// Deducts \p Bytes from the balance, which may become negative.
  void take(std::uint64_t Bytes, core::TimePoint Now) {
    refill(Now);
    if (Rate > 0)
      Balance -= static_cast<double>(Bytes);
  }

  /// Returns \p Bytes that were taken but not sent.
  void refund(std::uint64_t Bytes, core::TimePoint Now) {
    refill(Now);
    if (Rate > 0)
      Balance = std::min(Burst, Balance + static_cast<double>(Bytes));
  }

  /// Changes the rate; the balance stays.
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
