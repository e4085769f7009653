#ifndef ROSEMARYLANE_RUNTIME_TIMER_SERVICE_H
#define ROSEMARYLANE_RUNTIME_TIMER_SERVICE_H

#include "runtime/Duty.h"

#include <chrono>
#include <memory>

namespace rosemarylane::runtime {

/// Keeps the process's time: parts subscribe, and are called on their own duty.
///
/// One per process; it outlives every subscription's duty or the subscriptions
/// are dropped first. Thread-safe.
class TimerService {
public:
  /// Ends the subscription when destroyed. A call already handed to the duty
  /// may still run once.
  class Subscription {
  public:
    Subscription() = default;
    void cancel() { Alive.reset(); }
    bool active() const { return Alive != nullptr; }

  private:
    friend class TimerService;
    explicit Subscription(std::shared_ptr<bool> Alive)
        : Alive(std::move(Alive)) {}
    std::shared_ptr<bool> Alive;
  };

  static std::unique_ptr<TimerService> start();
  ~TimerService();

  /// Calls \p Work on \p On every \p Period. A call is skipped while the duty's
  /// ring is full.
  [[nodiscard]] Subscription every(std::chrono::nanoseconds Period, Duty &On,
                                   Duty::Task Work);

  /// Calls \p Work on \p On once, after \p Delay.
  [[nodiscard]] Subscription after(std::chrono::nanoseconds Delay, Duty &On,
                                   Duty::Task Work);

  /// Stops the service; no subscription fires afterwards.
  void stop();

private:
  TimerService();
  struct State;
  std::shared_ptr<State> S;
};

} // namespace rosemarylane::runtime

#endif // ROSEMARYLANE_RUNTIME_TIMER_SERVICE_H
