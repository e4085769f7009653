#include "routing/Ramp.h"

#include <algorithm>

namespace rosemarylane::routing {

namespace {

/// Weight of a new sample in the latency that is reported.
constexpr double ReportSmoothing = 0.2;

} // namespace

Ramp::Ramp(std::uint32_t Ceiling, RampSettings Settings)
    : Settings(Settings), Ceiling(std::max<std::uint32_t>(1, Ceiling)) {
  setLimit(Settings.Start);
  beginRound(0);
}

void Ramp::setCeiling(std::uint32_t Value) {
  Ceiling = std::max<std::uint32_t>(1, Value);
  setLimit(Limit);
}

void Ramp::setHeld(bool Value, std::uint32_t InProgress) {
  if (Value && !Held)
    restart(InProgress);
  Held = Value;
}

void Ramp::restart(std::uint32_t InProgress) {
  ++Restarts;
  Smoothed = 0;
  Baseline = 0;
  BaselineCount = 0;
  ColdInRow = 0;
  SlowInRow = 0;
  RoundsSinceProbe = 0;
  LimitBeforeProbe = 0;
  Loaded = false;
  setLimit(Settings.Start);
  beginRound(InProgress);
}

void Ramp::started(std::uint32_t InProgress) {
  if (InProgress >= Limit)
    Reached = true;
}

void Ramp::answered(std::chrono::nanoseconds Latency,
                    std::uint32_t InProgress) {
  auto Value = static_cast<double>(Latency.count());
  if (Earlier == 0 && Value > 0) {
    ColdInRow = looksCold(Value) ? ColdInRow + 1 : 0;
    if (ColdInRow >= Settings.ColdSamples) {
      restart(InProgress);
      return;
    }
    takeSample(Value);
  }
  countEnd(InProgress);
}

bool Ramp::looksCold(double Latency) const {
  if (probing())
    return exceeds(Latency, Settings.ColdAbove, BaselineBeforeProbe);
  return BaselineCount >= Settings.RoundSamples &&
         exceeds(Latency, Settings.ColdAbove, Baseline);
}

bool Ramp::exceeds(double Latency, double Multiple, double Reference) const {
  std::chrono::duration<double, std::nano> Tolerance = Settings.Tolerance;
  return Latency >= Multiple * Reference &&
         Latency >= Reference + Tolerance.count();
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
  Smoothed = Smoothed == 0 ? Latency
                           : Smoothed + ReportSmoothing * (Latency - Smoothed);
}

void Ramp::extendBaseline() {
  if (BaselineCount >= Settings.BaselineSamples)
    return;
  Baseline = (Baseline * BaselineCount + SampleSum) / (BaselineCount + Samples);
  BaselineCount += Samples;
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
  if (probing()) {
    endProbe();
  } else if (Samples > 0) {
    double Mean = SampleSum / Samples;
    ++RoundsSinceProbe;
    bool Due = Limit < Ceiling && RoundsSinceProbe >= Settings.ProbeRounds;
    if (!judgeRound(Mean) || Due)
      beginProbe(Mean);
  }
  beginRound(InProgress);
}

bool Ramp::judgeRound(double Mean) {
  bool Slow = BaselineCount > 0 && exceeds(Mean, Settings.GrowBelow, Baseline);
  SlowInRow = Slow ? SlowInRow + 1 : 0;
  if (Loaded || SlowInRow >= Settings.SlowRounds)
    return false;
  if (Slow)
    return true;
  extendBaseline();
  if (Reached && !Held)
    setLimit(Limit + std::max(1.0, Limit * Settings.Growth));
  return true;
}

void Ramp::beginProbe(double Mean) {
  SlowInRow = 0;
  RoundsSinceProbe = 0;
  LimitBeforeProbe = Limit;
  setLimit(Limit * Settings.ProbePart);
  MeanBeforeProbe = Mean;
  BaselineBeforeProbe = Baseline;
  Baseline = 0;
  BaselineCount = 0;
}

void Ramp::endProbe() {
  double Resumed = LimitBeforeProbe;
  LimitBeforeProbe = 0;
  if (Samples > 0)
    extendBaseline();
  else
    Baseline = BaselineBeforeProbe;
  Loaded = exceeds(MeanBeforeProbe, Settings.LoadedAbove, Baseline);
  setLimit(Loaded ? Resumed * Settings.BackOff : Resumed);
}

void Ramp::beginRound(std::uint32_t InProgress) {
  Earlier = InProgress;
  // A probe lasts until the baseline is known again.
  RoundLeft = std::max(Limit, probing() ? Settings.BaselineSamples
                                        : Settings.RoundSamples);
  Reached = false;
  Samples = 0;
  SampleSum = 0;
}

void Ramp::setLimit(double Value) {
  Limit =
      std::clamp<std::uint32_t>(static_cast<std::uint32_t>(Value), 1, Ceiling);
}

} // namespace rosemarylane::routing
