#include "routing/Admission.h"

#include <cassert>

namespace rosemarylane::routing {

namespace {

/// Batch requests leave the limit divided by this number, rounded down, free
/// for higher classes. A limit below the divisor is not split: the priority
/// order of the wait queue is enough there, and a reserved slot would cost more
/// throughput than it is worth to the higher classes.
constexpr std::uint32_t BatchReserveDivisor = 16;

std::uint32_t limitFor(core::TrafficClass Class, std::uint32_t Limit) {
  if (Class == core::TrafficClass::Batch)
    return Limit - Limit / BatchReserveDivisor;
  return Limit;
}

} // namespace

Admission::Decision Admission::tryAdmit(core::TrafficClass Class) {
  if (OutOfService)
    return Decision::OutOfService;
  if (credits(Class) == 0) {
    // The class has used up its share of the limit and there is demand for
    // more. No request starts here; the call makes the limiter count its limit
    // as reached, so that it may grow.
    if (InProgress < Limiter.limit())
      Limiter.started(Limiter.limit());
    return Decision::Busy;
  }
  ++InProgress;
  Limiter.started(InProgress);
  return Decision::Admitted;
}

void Admission::finished(Outcome Result, std::chrono::nanoseconds Latency) {
  assert(InProgress > 0);
  --InProgress;
  switch (Result) {
  case Outcome::Answered:
    Limiter.answered(Latency, InProgress);
    break;
  case Outcome::Failed:
    Limiter.failed(InProgress);
    break;
  case Outcome::Abandoned:
    Limiter.abandoned(InProgress);
    break;
  }
}

void Admission::setOutOfService(bool Value) {
  if (OutOfService && !Value)
    Limiter.restart(InProgress);
  OutOfService = Value;
}

std::uint32_t Admission::credits(core::TrafficClass Class) const {
  if (OutOfService)
    return 0;
  std::uint32_t Limit = limitFor(Class, Limiter.limit());
  return Limit > InProgress ? Limit - InProgress : 0;
}

} // namespace rosemarylane::routing
