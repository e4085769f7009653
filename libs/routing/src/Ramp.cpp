#include "routing/Ramp.h"

#include <algorithm>

namespace rosemarylane::routing {

Ramp::Ramp(std::uint32_t Ceiling, RampSettings Settings)
    : Settings(Settings), Ceiling(std::max<std::uint32_t>(1, Ceiling)) {
  setLimit(Settings.Start);
  beginRound(0);
}

void Ramp::setCeiling(std::uint32_t Value) {
  Ceiling = std::max<std::uint32_t>(1, Value);
  setLimit(Limit);
}

void Ramp::restart(std::uint32_t InProgress) {
  ++Restarts;
  Smoothed = 0;
  Baseline = 0;
  ColdInRow = 0;
  RoundsSinceProbe = 0;
  LimitBeforeProbe = 0;
  setLimit(Settings.Start);
  beginRound(InProgress);
}

void Ramp::started(std::uint32_t InProgress) {
  if (InProgress >= Limit)
    Reached = true;
}

void Ramp::answered(std::chrono::nanoseconds Latency,
                    std::uint32_t InProgress) {
  double Value = static_cast<double>(Latency.count());
  if (Earlier == 0 && Value > 0) {
    double Reference = LimitBeforeProbe > 0 ? ProvenBaseline : Baseline;
    bool LooksCold = Reference > 0 && Value > Settings.ColdAbove * Reference;
    ColdInRow = LooksCold ? ColdInRow + 1 : 0;
    if (ColdInRow >= Settings.ColdSamples) {
      restart(InProgress);
      return;
    }
    takeSample(Value);
  }
  countEnd(InProgress);
}

void Ramp::failed(std::uint32_t InProgress) {
  // Failures of requests from before the round have been answered already.
  if (Earlier > 0) {
    --Earlier;
    return;
  }
  LimitBeforeProbe = 0;
  setLimit(Limit * Settings.FailureBackOff);
  beginRound(InProgress);
}

void Ramp::abandoned(std::uint32_t InProgress) { countEnd(InProgress); }

void Ramp::takeSample(double Latency) {
  ++Samples;
  SampleSum += Latency;
  Smoothed = Smoothed == 0
                 ? Latency
                 : Smoothed + Settings.Smoothing * (Latency - Smoothed);
  Baseline = Baseline == 0 ? Smoothed : std::min(Baseline, Smoothed);
}

void Ramp::countEnd(std::uint32_t InProgress) {
  if (Earlier > 0) {
    --Earlier;
    return;
  }
  if (--RoundLeft == 0)
    endRound(InProgress);
}

void Ramp::endRound(std::uint32_t InProgress) {
  if (LimitBeforeProbe > 0) {
    endProbe();
  } else if (Samples > 0) {
    // The smoothed latency lags behind a limit that has just grown.
    double Highest = std::max(Smoothed, SampleSum / Samples);
    if (Smoothed > Settings.BackOffAbove * Baseline)
      setLimit(Limit * Settings.BackOff);
    else if (Reached && Highest < Settings.GrowBelow * Baseline)
      setLimit(Limit + std::max(1.0, Limit * Settings.Growth));
    if (++RoundsSinceProbe >= Settings.ProbeRounds)
      beginProbe();
  }
  beginRound(InProgress);
}

void Ramp::beginProbe() {
  RoundsSinceProbe = 0;
  LimitBeforeProbe = Limit;
  setLimit(Limit * Settings.ProbePart);
  Smoothed = 0;
  ProvenBaseline = Baseline;
  Baseline = 0;
}

void Ramp::endProbe() {
  setLimit(LimitBeforeProbe);
  LimitBeforeProbe = 0;
}

void Ramp::beginRound(std::uint32_t InProgress) {
  Earlier = InProgress;
  RoundLeft = Limit;
  Reached = false;
  Samples = 0;
  SampleSum = 0;
}

void Ramp::setLimit(double Value) {
  Limit =
      std::clamp<std::uint32_t>(static_cast<std::uint32_t>(Value), 1, Ceiling);
}

} // namespace rosemarylane::routing
