#ifndef ROSEMARYLANE_ROUTING_ADMISSION_H
#define ROSEMARYLANE_ROUTING_ADMISSION_H

#include "core/Catalogue.h"
#include "routing/Ramp.h"

#include <chrono>
#include <cstdint>

namespace rosemarylane::routing {

/// An agent's gate: decides whether one more request may start at the target.
///
/// The agent is the only way to its target, so its limit holds however many
/// entries send and however little they know of each other. A refused request
/// was not run.
///
///     if (Gate.tryAdmit(Class) == Admission::Decision::Admitted) {
///       // run it
///       Gate.finished(Admission::Outcome::Answered, TimeToFirstByte);
///     }
///
/// Every admitted request is finished exactly once, whatever becomes of it. A
/// value type without a clock.
class Admission {
public:
  enum class Decision { Admitted, Busy, OutOfService };

  /// How an admitted request ended.
  enum class Outcome {
    /// The target answered.
    Answered,
    /// The target failed or timed out.
    Failed,
    /// The caller left or the request was refused elsewhere: says nothing about
    /// the target.
    Abandoned,
  };

  /// @param Ceiling requests in progress at most, however well the target does.
  explicit Admission(std::uint32_t Ceiling, RampSettings Settings = {})
      : Limiter(Ceiling, Settings) {}

  /// Counts a request of class \p Class as in progress if it may start.
  [[nodiscard]] Decision tryAdmit(core::TrafficClass Class);

  /// Ends a request that was admitted.
  /// @param Latency time from admission to the first part of the answer; 0 if
  /// none came.
  void finished(Outcome How, std::chrono::nanoseconds Latency);

  /// The target was restarted, reloaded, or was found cold: the ramp starts
  /// again.
  void turnedCold() { Limiter.restart(Running); }

  /// The target says whether it is still cold: meanwhile the ramp stays at its
  /// start, however fast the answers are.
  void setCold(bool Cold) { Limiter.setHeld(Cold, Running); }

  /// Taken out of service, nothing starts; what is in progress goes on. Brought
  /// back, the ramp starts again.
  void setOutOfService(bool Out);

  /// Sets the most that may be in progress however well the target does.
  void setCeiling(std::uint32_t Ceiling) { Limiter.setCeiling(Ceiling); }

  /// @return how many requests may be in progress now, 0 out of service.
  std::uint32_t limit() const { return OutOfService ? 0 : Limiter.limit(); }

  std::uint32_t inProgress() const { return Running; }

  /// @return how many more requests of \p Class would be admitted now.
  std::uint32_t credits(core::TrafficClass Class) const;

  bool outOfService() const { return OutOfService; }

  /// @return the smoothed time to the first part of an answer.
  std::chrono::nanoseconds latency() const { return Limiter.latency(); }

private:
  Ramp Limiter;
  std::uint32_t Running = 0;
  bool OutOfService = false;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_ADMISSION_H
