#include "routing/Ramp.h"

#include <algorithm>

namespace rosemarylane::routing {

namespace {

/// Weight of a new sample in the reported latency.
constexpr double LatencySmoothing = 0.2;

} // namespace

Ramp::Ramp(std::uint32_t Ceiling, RampSettings Settings)
    : Settings(Settings), Ceiling(std::max<std::uint32_t>(1, Ceiling)) {
  setLimit(Settings.InitialLimit);
  beginRound(0);
}

void Ramp::setCeiling(std::uint32_t Value) {
  Ceiling = std::max<std::uint32_t>(1, Value);
  setLimit(Limit);
}

void Ramp::setPinnedToInitial(bool Value, std::uint32_t InProgress) {
  if (Value && !PinnedToInitial)
    restart(InProgress);
  PinnedToInitial = Value;
}

void Ramp::restart(std::uint32_t InProgress) {
  ++Restarts;
  SmoothedLatency = 0;
  Baseline = 0;
  BaselineCount = 0;
  ConsecutiveColdSamples = 0;
  ConsecutiveSlowRounds = 0;
  RoundsSinceProbe = 0;
  LimitBeforeProbe = 0;
  Saturated = false;
  setLimit(Settings.InitialLimit);
  beginRound(InProgress);
}

void Ramp::started(std::uint32_t InProgress) {
  if (InProgress >= Limit)
    LimitReached = true;
}

void Ramp::answered(std::chrono::nanoseconds Latency,
                    std::uint32_t InProgress) {
  auto Value = static_cast<double>(Latency.count());
  if (CompletionsToIgnore == 0 && Value > 0) {
    ConsecutiveColdSamples = looksCold(Value) ? ConsecutiveColdSamples + 1 : 0;
    if (ConsecutiveColdSamples >= Settings.ColdSamplesToRestart) {
      restart(InProgress);
      return;
    }
    recordSample(Value);
  }
  countCompletion(InProgress);
}

bool Ramp::looksCold(double Latency) const {
  if (probing())
    return exceeds(Latency, Settings.ColdLatencyRatio, BaselineBeforeProbe);
  return BaselineCount >= Settings.MinRoundSamples &&
         exceeds(Latency, Settings.ColdLatencyRatio, Baseline);
}

bool Ramp::exceeds(double Latency, double Multiple, double Reference) const {
  std::chrono::duration<double, std::nano> Tolerance =
      Settings.LatencyTolerance;
  return Latency >= Multiple * Reference &&
         Latency >= Reference + Tolerance.count();
}

void Ramp::failed(std::uint32_t InProgress) {
  // The first failure of a round reduces the limit and begins a new round. The
  // completions that the new round ignores do not reduce it again, nor do those
  // ignored after a round that ended in another way.
  if (CompletionsToIgnore > 0) {
    --CompletionsToIgnore;
    return;
  }
  LimitBeforeProbe = 0;
  setLimit(Limit * Settings.FailureBackoffFactor);
  beginRound(InProgress);
}

void Ramp::abandoned(std::uint32_t InProgress) { countCompletion(InProgress); }

void Ramp::recordSample(double Latency) {
  ++Samples;
  SampleSum += Latency;
  SmoothedLatency =
      SmoothedLatency == 0
          ? Latency
          : SmoothedLatency + LatencySmoothing * (Latency - SmoothedLatency);
}

void Ramp::extendBaseline() {
  if (BaselineCount >= Settings.MinBaselineSamples)
    return;
  Baseline = (Baseline * BaselineCount + SampleSum) / (BaselineCount + Samples);
  BaselineCount += Samples;
}

void Ramp::countCompletion(std::uint32_t InProgress) {
  if (CompletionsToIgnore > 0) {
    --CompletionsToIgnore;
    return;
  }
  if (--RoundRemaining == 0)
    endRound(InProgress);
}

void Ramp::endRound(std::uint32_t InProgress) {
  if (probing()) {
    endProbe();
  } else if (Samples > 0) {
    double Mean = SampleSum / Samples;
    ++RoundsSinceProbe;
    bool ProbeDue =
        Limit < Ceiling && RoundsSinceProbe >= Settings.RoundsBetweenProbes;
    if (!evaluateRound(Mean) || ProbeDue)
      beginProbe(Mean);
  }
  beginRound(InProgress);
}

bool Ramp::evaluateRound(double Mean) {
  bool Slow = BaselineCount > 0 &&
              exceeds(Mean, Settings.GrowBelowLatencyRatio, Baseline);
  ConsecutiveSlowRounds = Slow ? ConsecutiveSlowRounds + 1 : 0;
  if (Saturated || ConsecutiveSlowRounds >= Settings.SlowRoundsToProbe)
    return false;
  if (Slow)
    return true;
  extendBaseline();
  if (LimitReached && !PinnedToInitial)
    setLimit(Limit + std::max(1.0, Limit * Settings.GrowthFraction));
  return true;
}

void Ramp::beginProbe(double Mean) {
  ConsecutiveSlowRounds = 0;
  RoundsSinceProbe = 0;
  LimitBeforeProbe = Limit;
  setLimit(Limit * Settings.ProbeFraction);
  MeanBeforeProbe = Mean;
  BaselineBeforeProbe = Baseline;
  Baseline = 0;
  BaselineCount = 0;
}

void Ramp::endProbe() {
  double RestoredLimit = LimitBeforeProbe;
  LimitBeforeProbe = 0;
  if (Samples > 0)
    extendBaseline();
  else
    Baseline = BaselineBeforeProbe;
  Saturated =
      exceeds(MeanBeforeProbe, Settings.SaturatedLatencyRatio, Baseline);
  setLimit(Saturated ? RestoredLimit * Settings.BackoffFactor : RestoredLimit);
}

void Ramp::beginRound(std::uint32_t InProgress) {
  CompletionsToIgnore = InProgress;
  // A probe lasts until there are enough samples for a new baseline.
  RoundRemaining = std::max(Limit, probing() ? Settings.MinBaselineSamples
                                             : Settings.MinRoundSamples);
  LimitReached = false;
  Samples = 0;
  SampleSum = 0;
}

void Ramp::setLimit(double Value) {
  Limit =
      std::clamp<std::uint32_t>(static_cast<std::uint32_t>(Value), 1, Ceiling);
}

} // namespace rosemarylane::routing
