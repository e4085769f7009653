#ifndef ROSEMARYLANE_ROUTING_RAMP_H
#define ROSEMARYLANE_ROUTING_RAMP_H

#include <chrono>
#include <cstdint>

namespace rosemarylane::routing {

/// Parameters of a `Ramp`. Latencies are times to first byte.
///
/// A target is cold while it has not warmed up, for example after a restart,
/// and cannot take its full load yet.
struct RampSettings {
  /// Concurrency limit of a new limiter, and after each restart of it.
  std::uint32_t InitialLimit = 1;
  /// Fraction of the limit that is added to it when it grows after a round; at
  /// least one request is added.
  double GrowthFraction = 0.25;
  /// Minimum number of answers per round. Prompts differ in length by large
  /// factors, so the mean of a few answers varies widely.
  std::uint32_t MinRoundSamples = 6;
  /// Minimum number of answers over which the baseline latency is averaged.
  /// Rounds are included as a whole, so there may be more.
  std::uint32_t MinBaselineSamples = 12;
  /// Latency increases below this are never treated as load or as a cold
  /// target: they may be noise, and callers hardly notice them.
  std::chrono::milliseconds LatencyTolerance{50};
  /// The limit grows after a round whose mean latency is below this multiple of
  /// the baseline.
  double GrowBelowLatencyRatio = 1.75;
  /// Factor applied to the limit when the target is saturated.
  double BackoffFactor = 0.75;
  /// Factor applied to the limit when a request fails.
  double FailureBackoffFactor = 0.5;
  /// An answer whose latency is at least this multiple of the baseline counts
  /// as a cold sample: a sign that the target is cold.
  double ColdLatencyRatio = 8.0;
  /// Number of consecutive cold samples after which the target is treated as
  /// cold and the limiter restarts.
  std::uint32_t ColdSamplesToRestart = 4;
  /// Number of rounds since the last probe after which the baseline is measured
  /// again if the limit is below the ceiling.
  std::uint32_t RoundsBetweenProbes = 120;
  /// Factor applied to the limit during a probe.
  double ProbeFraction = 0.5;
  /// Number of consecutive rounds above `GrowBelowLatencyRatio` after which a
  /// probe is started.
  std::uint32_t SlowRoundsToProbe = 2;
  /// The limit is reduced if the mean latency of the round before the probe was
  /// above this multiple of the mean during the probe. With half of the
  /// requests, an unsaturated target answers at the same latency and a
  /// saturated one at half of it.
  double SaturatedLatencyRatio = 1.6;
};

/// Adaptive concurrency limiter of one target: starts low after a restart and
/// grows for as long as the time to first byte shows no queueing.
///
/// Works in rounds. A request that was already in progress when the round began
/// started under an earlier limit. As many completions as there were such
/// requests are ignored first. After these, the round lasts for as many further
/// requests as the limit, and at least for `MinRoundSamples` of them, or during
/// a probe for `MinBaselineSamples`. The limit grows only if it was reached
/// during the round.
///
/// The baseline is the mean latency over rounds that show no load, that is, are
/// not slower than `GrowBelowLatencyRatio` allows. It is measured over the
/// first such rounds after a restart, and anew by each probe. Long prompts can
/// make a round look loaded, so a probe round at half of the limit checks
/// whether latency depends on load before the limit is reduced. Probes also run
/// periodically. Copyable, reads no clock, and not thread-safe.
class Ramp {
public:
  explicit Ramp(std::uint32_t Ceiling, RampSettings Settings = {});

  /// @return the number of requests that may be in progress, at least 1.
  std::uint32_t limit() const { return Limit; }

  void setCeiling(std::uint32_t Value);

  /// Pins the limit to its initial value, or releases it.
  /// @param Value true restarts the limiter if it was not pinned yet, and holds
  /// the limit until the next call with false.
  void setPinnedToInitial(bool Value, std::uint32_t InProgress);

  /// Restarts the limiter: returns to the initial limit and discards the
  /// baseline, because the target is cold.
  /// @param InProgress requests still in progress at the target.
  void restart(std::uint32_t InProgress);

  /// Records that a request started. The limit counts as reached if \p
  /// InProgress is at least as high.
  /// @param InProgress requests in progress, including this one.
  void started(std::uint32_t InProgress);

  /// Records that a request was answered.
  /// @param InProgress requests in progress, without this one.
  void answered(std::chrono::nanoseconds Latency, std::uint32_t InProgress);

  /// Records that a request failed at the target.
  /// @param InProgress requests in progress, without this one.
  void failed(std::uint32_t InProgress);

  /// Records that a request ended in a way that says nothing about the target,
  /// such as a cancellation.
  void abandoned(std::uint32_t InProgress);

  /// @return the smoothed latency; 0 before the first answer.
  std::chrono::nanoseconds latency() const {
    return std::chrono::nanoseconds(static_cast<std::int64_t>(SmoothedLatency));
  }

  /// @return how often this limiter was restarted, by `restart`, by
  /// `setPinnedToInitial`, or because of cold samples.
  std::uint32_t restarts() const { return Restarts; }

private:
  bool probing() const { return LimitBeforeProbe > 0; }
  bool looksCold(double Latency) const;
  /// @return whether \p Latency is at least \p Multiple of \p Reference, and
  /// above it by at least `LatencyTolerance`.
  bool exceeds(double Latency, double Multiple, double Reference) const;
  void recordSample(double Latency);
  void extendBaseline();
  void beginRound(std::uint32_t InProgress);
  void countCompletion(std::uint32_t InProgress);
  void endRound(std::uint32_t InProgress);
  /// Updates the limit from the mean latency of a round.
  /// @return false if a probe is needed to find out whether load is the cause.
  bool evaluateRound(double Mean);
  void beginProbe(double Mean);
  void endProbe();
  void setLimit(double Value);

  RampSettings Settings;
  std::uint32_t Ceiling;
  std::uint32_t Limit;
  /// Number of completions still to be ignored: as many as there were requests
  /// in progress when the round began. Which of the requests end is not
  /// checked.
  std::uint32_t CompletionsToIgnore = 0;
  /// Requests that must still end before the round does.
  std::uint32_t RoundRemaining;
  bool PinnedToInitial = false;
  /// Whether the limit was reached during the round.
  bool LimitReached = false;
  /// Answers received during the round.
  std::uint32_t Samples = 0;
  double SampleSum = 0;
  std::uint32_t ConsecutiveColdSamples = 0;
  std::uint32_t ConsecutiveSlowRounds = 0;
  std::uint32_t Restarts = 0;
  std::uint32_t RoundsSinceProbe = 0;
  /// Whether the last probe showed that the target is saturated. While true,
  /// the limit does not grow and each round is followed by a probe.
  bool Saturated = false;
  /// Limit to restore after the probe; 0 when none is running.
  std::uint32_t LimitBeforeProbe = 0;
  /// Reported latency. All latencies below are in nanoseconds, and 0 before the
  /// first answer.
  double SmoothedLatency = 0;
  /// Mean latency of the rounds that show no load, and the number of answers in
  /// it. A probe replaces both by its own.
  double Baseline = 0;
  std::uint32_t BaselineCount = 0;
  /// Baseline from before the current probe.
  double BaselineBeforeProbe = 0;
  /// Mean latency of the round before the current probe.
  double MeanBeforeProbe = 0;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_RAMP_H
