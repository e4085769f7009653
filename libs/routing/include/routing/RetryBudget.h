#ifndef ROSEMARYLANE_ROUTING_RETRY_BUDGET_H
#define ROSEMARYLANE_ROUTING_RETRY_BUDGET_H

#include <algorithm>
#include <cstdint>

namespace rosemarylane::routing {

/// Bounds the retries of one entry process to a part of its first attempts, so
/// that failures never multiply the load.
///
/// Each first attempt earns a part of a retry; a retry costs a whole one. A
/// value type without a clock.
class RetryBudget {
public:
  struct Settings {
    /// Retries earned by one first attempt.
    double Ratio = 0.09;
    /// Retries that may be saved up, and that a process starts with.
    double Burst = 20;
  };

  RetryBudget() : RetryBudget(Settings()) {}
  explicit RetryBudget(Settings Bounds) : Bounds(Bounds), Saved(Bounds.Burst) {}

  /// A request is attempted for the first time.
  void firstAttempt() { Saved = std::min(Bounds.Burst, Saved + Bounds.Ratio); }

  /// Takes a retry from the budget.
  /// @return false if there is none left: the failure is passed on to the
  /// caller.
  [[nodiscard]] bool tryRetry() {
    if (Saved < 1) {
      ++Refused;
      return false;
    }
    Saved -= 1;
    return true;
  }

  /// @return retries that were refused.
  std::uint64_t refused() const { return Refused; }

private:
  Settings Bounds;
  double Saved;
  std::uint64_t Refused = 0;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_RETRY_BUDGET_H
