#ifndef ROSEMARYLANE_ROUTING_ADMISSION_H
#define ROSEMARYLANE_ROUTING_ADMISSION_H

#include "core/Catalogue.h"
#include "routing/Ramp.h"

#include <chrono>
#include <cstdint>

namespace rosemarylane::routing {

/// Decides in the agent whether one more request may start at its target.
///
/// All requests to a target pass through its agent, so the limit holds however
/// many entry processes send and however stale their load reports are. A
/// request that is refused has not been run.
///
///     if (Controller.tryAdmit(Class) == Admission::Decision::Admitted) {
///       // Run the request.
///       Controller.finished(Admission::Outcome::Answered, TimeToFirstByte);
///     }
///
/// Call `finished` exactly once for each admitted request, whatever its
/// outcome. Copyable, reads no clock, and not thread-safe.
class Admission {
public:
  enum class Decision { Admitted, Busy, OutOfService };

  /// How an admitted request ended.
  enum class Outcome {
    /// The target answered.
    Answered,
    /// The target returned an error, crashed or timed out.
    Failed,
    /// The caller disconnected, or the agent refused the request after it was
    /// admitted and before it was sent to the target; not counted for or
    /// against the target.
    Abandoned,
  };

  /// @param Ceiling upper bound of the concurrency limit, whatever the latency
  /// of the target.
  explicit Admission(std::uint32_t Ceiling, RampSettings Settings = {})
      : Limiter(Ceiling, Settings) {}

  /// Admits a request of \p Class if the limit allows, and counts it as in
  /// progress.
  [[nodiscard]] Decision tryAdmit(core::TrafficClass Class);

  /// Ends an admitted request.
  /// @param Latency time from admission to the first byte of the answer; 0 if
  /// there was none.
  void finished(Outcome Result, std::chrono::nanoseconds Latency);

  /// Returns to the initial limit. Call it after the target was restarted or
  /// reloaded. The limiter does the same by itself after
  /// `RampSettings::ColdSamplesToRestart` slow answers.
  void resetLimit() { Limiter.restart(InProgress); }

  /// Sets whether the target reports itself as cold. While it does, the limit
  /// stays at its initial value, however low the latency is.
  void setCold(bool Cold) { Limiter.setPinnedToInitial(Cold, InProgress); }

  /// Takes the target out of service or returns it. Out of service, no request
  /// starts, while requests in progress continue; on return, the limit starts
  /// from its initial value.
  void setOutOfService(bool Value);

  /// Sets the upper bound of the concurrency limit.
  void setCeiling(std::uint32_t Ceiling) { Limiter.setCeiling(Ceiling); }

  /// @return the number of requests that may be in progress now; 0 when out of
  /// service.
  std::uint32_t limit() const { return OutOfService ? 0 : Limiter.limit(); }

  std::uint32_t inProgress() const { return InProgress; }

  /// @return the number of further requests of \p Class that would be admitted
  /// now.
  std::uint32_t credits(core::TrafficClass Class) const;

  bool outOfService() const { return OutOfService; }

  /// @return the smoothed time to first byte.
  std::chrono::nanoseconds latency() const { return Limiter.latency(); }

private:
  Ramp Limiter;
  std::uint32_t InProgress = 0;
  bool OutOfService = false;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_ADMISSION_H
