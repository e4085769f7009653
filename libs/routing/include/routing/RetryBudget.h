#ifndef ROSEMARYLANE_ROUTING_RETRY_BUDGET_H
#define ROSEMARYLANE_ROUTING_RETRY_BUDGET_H

#include <algorithm>
#include <cstdint>

namespace rosemarylane::routing {

/// Limits the retries of one entry process to a fraction of its first attempts,
/// so that failures cannot multiply the load.
///
/// Each first attempt adds that fraction to the balance; a retry costs one.
/// Copyable, reads no clock, and not thread-safe.
class RetryBudget {
public:
  struct Settings {
    /// Retries earned per first attempt.
    double Ratio = 0.09;
    /// Maximum balance, which is also the initial one.
    double Burst = 20;
  };

  RetryBudget() : RetryBudget(Settings()) {}
  explicit RetryBudget(Settings Config)
      : Config(Config), Balance(Config.Burst) {}

  /// Adds to the budget for a request that is attempted for the first time.
  void recordFirstAttempt() {
    Balance = std::min(Config.Burst, Balance + Config.Ratio);
  }

  /// Takes one retry from the budget.
  /// @return false if the budget is exhausted, and the failure must be returned
  /// to the caller.
  [[nodiscard]] bool tryRetry() {
    if (Balance < 1) {
      ++Refused;
      return false;
    }
    Balance -= 1;
    return true;
  }

  /// @return the number of retries refused so far.
  std::uint64_t refused() const { return Refused; }

private:
  Settings Config;
  double Balance;
  std::uint64_t Refused = 0;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_RETRY_BUDGET_H
