#include "gateway/RetryAfter.h"

namespace rosemarylane {

using core::BootClock;
using core::BootTime;
using std::chrono::milliseconds;

namespace {

/// Digits after the point: callers heed fractions of seconds.
constexpr std::size_t Decimals = 3;

} // namespace

std::string retryAfterField(milliseconds Time) {
  std::string Seconds =
      std::to_string(std::chrono::duration<double>(Time).count());
  return Seconds.substr(0, Seconds.find('.') + 1 + Decimals);
}

milliseconds retryAfter(GatewayContext &Context,
                        serving::TargetRequirements Demand,
                        const serving::ReturningCaller &Caller,
                        std::optional<milliseconds> RoomIn) {
  milliseconds Time = serving::returnTime(Caller, RoomIn, Context.random());
  // A caller's next attempt may go to the targets of this one too.
  Demand.Tried = nullptr;
  BootTime Now = BootClock::now();
  if (auto PausedUntil = Context.Targets.allPausedUntil(Demand, Now))
    Time += std::chrono::ceil<milliseconds>(*PausedUntil - Now);
  return Time;
}

} // namespace rosemarylane
