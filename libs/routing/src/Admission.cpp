#include "routing/Admission.h"

#include <cassert>

namespace rosemarylane::routing {

namespace {

/// The part of a large limit that batch work leaves to higher classes. A small
/// limit is not divided: there the wait queue's order is enough, and a slot
/// kept free would cost more than it helps.
constexpr std::uint32_t BatchReserveDivisor = 16;

std::uint32_t limitOf(core::TrafficClass Class, std::uint32_t Limit) {
  if (Class == core::TrafficClass::Batch)
    return Limit - Limit / BatchReserveDivisor;
  return Limit;
}

} // namespace

Admission::Decision Admission::tryAdmit(core::TrafficClass Class) {
  if (OutOfService)
    return Decision::OutOfService;
  if (credits(Class) == 0) {
    // Demand was there, so the limit was reached as far as this class goes.
    if (Running < Limiter.limit())
      Limiter.started(Limiter.limit());
    return Decision::Busy;
  }
  ++Running;
  Limiter.started(Running);
  return Decision::Admitted;
}

void Admission::finished(Outcome How, std::chrono::nanoseconds Latency) {
  assert(Running > 0);
  --Running;
  switch (How) {
  case Outcome::Answered:
    Limiter.answered(Latency, Running);
    break;
  case Outcome::Failed:
    Limiter.failed(Running);
    break;
  case Outcome::Abandoned:
    Limiter.abandoned(Running);
    break;
  }
}

void Admission::setOutOfService(bool Out) {
  if (OutOfService && !Out)
    Limiter.restart(Running);
  OutOfService = Out;
}

std::uint32_t Admission::credits(core::TrafficClass Class) const {
  if (OutOfService)
    return 0;
  std::uint32_t Limit = limitOf(Class, Limiter.limit());
  return Limit > Running ? Limit - Running : 0;
}

} // namespace rosemarylane::routing
