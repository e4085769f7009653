#ifndef ROSEMARYLANE_ROUTING_RAMP_H
#define ROSEMARYLANE_ROUTING_RAMP_H

#include <chrono>
#include <cstdint>

namespace rosemarylane::routing {

/// How a ramp grows and backs off. Latencies are times to the first part of an
/// answer.
struct RampSettings {
  /// Requests in progress after a start.
  std::uint32_t Start = 1;
  /// A step up adds this part of the limit, and at least one.
  double Growth = 0.25;
  /// Answers in a round at least: one prompt may take many times as long as
  /// another.
  std::uint32_t RoundSamples = 6;
  /// Answers over which the latency without load is averaged.
  std::uint32_t BaselineSamples = 12;
  /// A latency that is higher by less than this is never taken for load or
  /// cold: it may be chance, and callers hardly notice it.
  std::chrono::milliseconds Tolerance{50};
  /// The ramp grows after a round whose mean latency is below this multiple of
  /// the latency without load.
  double GrowBelow = 1.75;
  /// What is left of the limit after backing off.
  double BackOff = 0.75;
  /// What is left of the limit after a failure.
  double FailureBackOff = 0.5;
  /// A latency above this multiple of the latency without load looks cold.
  double ColdAbove = 8.0;
  /// Latencies in a row that look cold after which the target counts as cold.
  std::uint32_t ColdSamples = 4;
  /// Rounds below the ceiling after which the latency without load is measured
  /// again, in one round at `ProbePart` of the limit.
  std::uint32_t ProbeRounds = 120;
  double ProbePart = 0.5;
  /// Rounds in a row above that multiple after which a probe is made.
  std::uint32_t SlowRounds = 2;
  /// The ramp backs off if a probe shows that the mean latency of the round
  /// before was above this multiple of the probe's: a target that is not loaded
  /// answers as fast with half of the requests, a saturated one twice as fast.
  double LoadedAbove = 1.6;
};

/// How many requests a target may have in progress: from one after a start up
/// to what its latency shows that it bears.
///
/// Works in rounds. A round ends when everything that was in progress at the
/// last change of the limit has ended, and then as many requests as the limit:
/// only then do the latencies speak for that limit. The limit is raised only if
/// it was reached in the round.
///
/// The latency without load is the mean over the first good rounds after a
/// start. A round that looks loaded may only have had longer prompts, so before
/// the ramp backs off, a probe round at half of the limit shows whether the
/// latency depends on the load. From time to time a probe is made anyway. A
/// value type without a clock.
class Ramp {
public:
  explicit Ramp(std::uint32_t Ceiling, RampSettings Settings = {});

  /// @return how many requests may be in progress, at least one.
  std::uint32_t limit() const { return Limit; }

  void setCeiling(std::uint32_t Value);

  /// Begins again from the start and stays there until \p Held is false.
  void setHeld(bool Value, std::uint32_t InProgress);

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

  /// @return the smoothed latency; 0 before the first answer.
  std::chrono::nanoseconds latency() const {
    return std::chrono::nanoseconds(static_cast<std::int64_t>(Smoothed));
  }

  /// @return how often the ramp began again.
  std::uint32_t restarts() const { return Restarts; }

private:
  bool probing() const { return LimitBeforeProbe > 0; }
  bool looksCold(double Latency) const;
  /// @return whether \p Latency is above \p Multiple of \p Reference by more
  /// than chance.
  bool exceeds(double Latency, double Multiple, double Reference) const;
  void takeSample(double Latency);
  void extendBaseline();
  void beginRound(std::uint32_t InProgress);
  void countEnd(std::uint32_t InProgress);
  void endRound(std::uint32_t InProgress);
  /// Changes the limit as the round shows.
  /// @return false if a probe must show first whether load is the cause.
  bool judgeRound(double Mean);
  void beginProbe(double Mean);
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
  bool Held = false;
  /// The limit was reached in this round.
  bool Reached = false;
  /// Answers of this round.
  std::uint32_t Samples = 0;
  double SampleSum = 0;
  std::uint32_t ColdInRow = 0;
  std::uint32_t SlowInRow = 0;
  std::uint32_t Restarts = 0;
  std::uint32_t RoundsSinceProbe = 0;
  /// The last probe showed load: each round is followed by another probe, and
  /// the limit does not grow, until one shows none.
  bool Loaded = false;
  /// The limit to go back to after a probe; 0 outside of one.
  std::uint32_t LimitBeforeProbe = 0;
  /// For reports. Latencies are in nanoseconds, and 0 before the first answer.
  double Smoothed = 0;
  /// The mean latency without load, and the answers that it is made of: those
  /// of the first rounds that did not look loaded.
  double Baseline = 0;
  std::uint32_t BaselineCount = 0;
  /// As it was before the probe that is running.
  double BaselineBeforeProbe = 0;
  /// The mean latency of the round before that probe.
  double MeanBeforeProbe = 0;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_RAMP_H
