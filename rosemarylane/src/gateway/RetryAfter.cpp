#include "gateway/RetryAfter.h"

namespace rosemarylane {

using core::BootClock;
using core::BootTime;
using std::chrono::milliseconds;

namespace {

/// Range of the random `Retry-After` time of a refusal.
constexpr milliseconds MinRetryAfter{500};
constexpr milliseconds MaxRetryAfter{1900};

milliseconds randomRetryAfter(double Random) {
  std::chrono::duration<double, std::milli> Spread =
      MaxRetryAfter - MinRetryAfter;
  return MinRetryAfter + std::chrono::ceil<milliseconds>(Random * Spread);
}

std::string inSeconds(milliseconds Time) {
  std::string Seconds =
      std::to_string(std::chrono::duration<double>(Time).count());
  return Seconds.substr(0, Seconds.find('.') + 3);
}

} // namespace

std::string retryAfter(GatewayContext &Context,
                       serving::TargetRequirements Demand) {
  milliseconds Time = randomRetryAfter(Context.random());
  // A caller's next attempt may go to the targets of this one too.
  Demand.Tried = nullptr;
  BootTime Now = BootClock::now();
  if (auto PausedUntil = Context.Targets.allPausedUntil(Demand, Now))
    Time += std::chrono::ceil<milliseconds>(*PausedUntil - Now);
  return inSeconds(Time);
}

} // namespace rosemarylane
