#ifndef ROSEMARYLANE_ROUTING_RAMP_H
#define ROSEMARYLANE_ROUTING_RAMP_H

#include <chrono>
#include <cstdint>
#include <optional>

namespace rosemarylane::routing {

/// How a ramp grows and backs off.
struct RampSettings {
  /// Requests in progress after a start.
  std::uint32_t Start = 1;
  /// A step up adds this part of the limit, and at least one.
  double Growth = 0.25;
  /// Weight of a new sample in the smoothed latency.
  double Smoothing = 0.2;
  /// The ramp grows while the smoothed latency is below this multiple of the
  /// latency without load.
  double GrowBelow = 1.75;
  /// The ramp backs off when the smoothed latency is above this multiple.
  double BackOffAbove = 2.5;
  /// What is left of the limit after backing off.
  double BackOff = 0.75;
  /// What is left of the limit after a failure.
  double FailureBackOff = 0.5;
  /// A sample above this multiple of the latency without load looks cold.
  double ColdAbove = 8.0;
  /// Samples in a row that look cold after which the target counts as cold.
  std::uint32_t ColdSamples = 2;
  /// Rounds after which the latency without load is measured again, in one
  /// round at `ProbePart` of the limit.
  std::uint32_t ProbeRounds = 50;
  double ProbePart = 0.5;
};

/// How many requests a target may have in progress: from one after a start up
/// to what its latency shows that it bears.
///
/// Works in rounds. A round ends when everything that was in progress at the
/// last change of the limit has ended, and then as many requests as the limit:
/// only then do the latencies speak for that limit. The limit is raised only if
/// it was reached in the round. From time to time a round at half of the limit
/// measures the latency without load again, so that neither a lucky sample nor
/// a target that has become slower for good misleads it. A value type without a
/// clock.
class Ramp {
public:
  explicit Ramp(std::uint32_t Ceiling, RampSettings Settings = {});

  /// @return how many requests may be in progress, at least one.
  std::uint32_t limit() const { return Limit; }

  void setCeiling(std::uint32_t Value);

  /// The target is cold: begins again from the start.
  /// @param InProgress requests that are still in progress there.
  void restart(std::uint32_t InProgress);

  /// A request starts, after which \p InProgress are in progress.
  void started(std::uint32_t InProgress);

  /// A request was answered, after which \p InProgress are in progress.
  void answered(std::chrono::nanoseconds Latency, std::uint32_t InProgress);

  /// A request failed at the target, after which \p InProgress are in progress.
  void failed(std::uint32_t InProgress);

  /// A request ended in a way that says nothing about the target.
  void abandoned(std::uint32_t InProgress);

  /// @return the smoothed time to the first part of an answer; 0 before the
  /// first.
  std::chrono::nanoseconds latency() const {
    return std::chrono::nanoseconds(static_cast<std::int64_t>(Smoothed));
  }

  /// @return how often the ramp began again.
  std::uint32_t restarts() const { return Restarts; }

private:
  void takeSample(double Latency);
  void beginRound(std::uint32_t InProgress);
  void countEnd(std::uint32_t InProgress);
  void endRound(std::uint32_t InProgress);
  void beginProbe();
  void endProbe();
  void setLimit(double Value);

  RampSettings Settings;
  std::uint32_t Ceiling;
  std::uint32_t Limit;
  /// Requests from before the round that have not ended: their latencies do
  /// not count.
  std::uint32_t Earlier = 0;
  /// Requests of the round that must still end.
  std::uint32_t RoundLeft;
  /// The limit was reached in this round.
  bool Reached = false;
  /// Answers of this round that came, and samples in a row that look cold.
  std::uint32_t Samples = 0;
  double SampleSum = 0;
  std::uint32_t ColdInRow = 0;
  std::uint32_t Restarts = 0;
  std::uint32_t RoundsSinceProbe = 0;
  /// The limit to go back to after a probe; 0 outside of one.
  std::uint32_t LimitBeforeProbe = 0;
  /// Nanoseconds; 0 before the first sample.
  double Smoothed = 0;
  /// The smoothed latency without load, in nanoseconds.
  double Baseline = 0;
  /// As measured by the probe before; while a probe runs, it tells a cold
  /// target.
  double ProvenBaseline = 0;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_RAMP_H
