#include "serving/EngineModel.h"

#include <algorithm>
#include <cmath>

namespace rosemarylane::serving {

namespace {

/// Requests that come or go at an engine unseen, until the next report.
constexpr double UnseenRequests = 1;
/// The largest part of an engine's slots that is kept for urgent requests.
constexpr double MaxReservedShare = 1.0 / 6;

/// @return the expected number of slots that must come free before a request
/// starts at an engine that has \p Requests.
double slotsToComeFree(double Requests, std::uint32_t Slots) {
  double Missing = (Requests + 1 - Slots) / UnseenRequests;
  // Softplus: 0 far below, `Missing` far above.
  return UnseenRequests *
         (std::max(Missing, 0.0) + std::log1p(std::exp(-std::abs(Missing))));
}

double slowed(double Slowness) { return std::max(Slowness, 1.0); }

/// @return the time of a usual request that finds a free slot and no prompt
/// ahead of it.
FractionalMs unhinderedTime(const EngineTimings &Timings, std::uint32_t Slots) {
  // Half of the pass in progress, and the one that reads the prompt.
  constexpr double Passes = 1.5;
  return writingTime(Timings, Slots) * Passes +
         readingTime(Timings, Timings.UsualPrompt);
}

} // namespace

FractionalMs readingTime(const EngineTimings &Timings, double Tokens) {
  constexpr double Million = 1e6;
  double Pairs = Tokens * Tokens / 2 / Million;
  return Tokens / Timings.PromptTokensPerMs * FractionalMs(1) +
         Timings.PerMillionPairs * Pairs;
}

namespace {

FractionalMs stepsTime(const EngineTimings &Timings, double Running) {
  double Context = Timings.UsualPrompt + Timings.UsualAnswer / 2;
  FractionalMs PerRequest = Timings.StepPerRequest +
                            Timings.StepPerThousandContext * (Context / 1000);
  return Timings.StepsPerPass * (Timings.Step + PerRequest * Running);
}

} // namespace

FractionalMs writingTime(const EngineTimings &Timings, std::uint32_t Slots) {
  return stepsTime(Timings, Slots);
}

FractionalMs timePerFreeSlot(const EngineTimings &Timings,
                             std::uint32_t Slots) {
  double Passes = std::ceil(Timings.UsualAnswer / Timings.StepsPerPass);
  // Meanwhile as many prompts are read as there are slots.
  return Passes * writingTime(Timings, Slots) / Slots +
         readingTime(Timings, Timings.UsualPrompt);
}

FractionalMs expectedFirstEvent(const EngineTimings &Timings,
                                const EngineLoad &Load,
                                std::uint32_t PromptTokens) {
  FractionalMs Steps =
      stepsTime(Timings, std::clamp<double>(Load.requests(), 1, Load.Slots));
  FractionalMs ForSlot = slotsToComeFree(Load.requests(), Load.Slots) *
                         timePerFreeSlot(Timings, Load.Slots);
  // Of those ahead, the ones with a slot are read first. While a slot is waited
  // for, that goes on.
  double FreeSlots = std::max(0.0, Load.Slots - Load.Running);
  double ReadFirst =
      Load.Waiting > 0 ? std::min(1.0, FreeSlots / Load.Waiting) : 0;
  double TokensAhead = Load.WaitingTokens * ReadFirst;
  FractionalMs ForPrompts =
      readingTime(Timings, Timings.UsualPrompt) / Timings.UsualPrompt *
          TokensAhead +
      std::floor(TokensAhead / Timings.PassTokens) * Steps;
  FractionalMs Own =
      readingTime(Timings, PromptTokens) +
      std::max(1.0, std::ceil(PromptTokens / Timings.PassTokens)) * Steps;
  FractionalMs UntilPassEnds = Steps / 2;
  return (UntilPassEnds + std::max(ForSlot, ForPrompts) + Own) *
         slowed(Load.Slowness);
}

double promptsWithin(const EngineTimings &Timings, std::uint32_t Slots,
                     double Slowness, FractionalMs Objective) {
  FractionalMs Steps = writingTime(Timings, Slots);
  FractionalMs PerPrompt = readingTime(Timings, Timings.UsualPrompt) +
                           Steps * (Timings.UsualPrompt / Timings.PassTokens);
  return std::max(0.0, (Objective / slowed(Slowness) - Steps / 2) / PerPrompt);
}

double queueWithin(const EngineTimings &Timings, std::uint32_t Slots,
                   double Slowness, FractionalMs Objective) {
  FractionalMs Left =
      Objective / slowed(Slowness) - unhinderedTime(Timings, Slots);
  return std::max(0.0, Left / timePerFreeSlot(Timings, Slots));
}

std::uint32_t mostReserved(std::uint32_t Slots) {
  return static_cast<std::uint32_t>(Slots * MaxReservedShare);
}

std::uint32_t urgentReserve(const EngineTimings &Timings, std::uint32_t Slots,
                            double UrgentShare, FractionalMs Objective) {
  std::uint32_t Most = mostReserved(Slots);
  if (UrgentShare <= 0 || Most == 0)
    return 0;
  double InTime = queueWithin(Timings, Slots, 1, Objective);
  double Arrivals = InTime > 0 ? UrgentShare / InTime : Most;
  return std::clamp<std::uint32_t>(
      static_cast<std::uint32_t>(std::ceil(std::min<double>(Arrivals, Most))),
      1, Most);
}

double expectedSlowness(double Reported, FractionalMs Age) {
  double HalfLives = std::max(0.0, Age / FractionalMs(SlownessHalfLife));
  return 1 + (std::max(Reported, 1.0) - 1) * std::exp2(-HalfLives);
}

} // namespace rosemarylane::serving
