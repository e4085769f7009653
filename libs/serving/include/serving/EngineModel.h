#ifndef ROSEMARYLANE_SERVING_ENGINE_MODEL_H
#define ROSEMARYLANE_SERVING_ENGINE_MODEL_H

#include "serving/ServingConfig.h"

#include <chrono>
#include <cstdint>

namespace rosemarylane::serving {

using FractionalMs = std::chrono::duration<double, std::milli>;

/// What is known of the requests at an engine.
struct EngineLoad {
  std::uint32_t Slots = 1;
  /// Requests that have their first token.
  double Running = 0;
  /// Requests without a first token, and their prompts together.
  double Waiting = 0;
  double WaitingTokens = 0;
  /// 1 as usual; 2 if work takes twice as long.
  double Slowness = 1;

  double requests() const { return Running + Waiting; }
};

/// @return the time that the engine takes to read \p Tokens of a prompt, apart
/// from the token steps of other requests.
FractionalMs readingTime(const EngineTimings &Timings, double Tokens);

/// @return the time that the token steps of one pass take with all slots taken.
FractionalMs writingTime(const EngineTimings &Timings, std::uint32_t Slots);

/// @return the time from one slot's coming free to the next at an engine that
/// has all its slots taken and requests waiting: what one request holds a slot
/// for, divided by the slots.
FractionalMs timePerFreeSlot(const EngineTimings &Timings, std::uint32_t Slots);

/// Expected time from the send of a request to its first event.
///
/// An engine works in passes: it reads a part of the waiting prompts, then
/// executes some token steps of all running requests. A new request waits for
/// the end of the current pass, for a slot, and for the prompts ahead of it;
/// its first event comes with the end of the pass that has read its prompt.
///
/// An idle engine would answer sooner, since it has no steps to execute. That
/// is left out: it says nothing of whether an objective is met, and would make
/// the first request at an idle engine worth leaving the failure domain. What
/// is known of an engine is some tens of milliseconds old, so that a slot more
/// or less may be taken by then: the wait for a slot rises smoothly around the
/// last one.
FractionalMs expectedFirstEvent(const EngineTimings &Timings,
                                const EngineLoad &Load,
                                std::uint32_t PromptTokens);

/// @return the number of usual prompts, sent at once to free slots, whose first
/// events come within \p Objective.
double promptsWithin(const EngineTimings &Timings, std::uint32_t Slots,
                     double Slowness, FractionalMs Objective);

/// @return the number of usual requests that may wait for a slot and still have
/// their first event within \p Objective.
double queueWithin(const EngineTimings &Timings, std::uint32_t Slots,
                   double Slowness, FractionalMs Objective);

/// @return the largest number of an engine's slots that are kept for urgent
/// requests.
std::uint32_t mostReserved(std::uint32_t Slots);

/// @return the slots that the less urgent leave free for urgent requests with
/// \p Objective, which are the fraction \p UrgentShare of all: as many as
/// urgent requests arrive, at a full engine, in the time that a slot takes to
/// come free beyond what they can wait for one. 0 if there are none; otherwise
/// at least 1, and never more than `mostReserved`, which is 0 for few slots.
std::uint32_t urgentReserve(const EngineTimings &Timings, std::uint32_t Slots,
                            double UrgentShare, FractionalMs Objective);

/// @return what slowness to expect \p Age after it was \p Reported. Slow spells
/// last parts of a second, so that a report loses half its worth in
/// `SlownessHalfLife`.
double expectedSlowness(double Reported, FractionalMs Age);

constexpr std::chrono::milliseconds SlownessHalfLife{300};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_ENGINE_MODEL_H
