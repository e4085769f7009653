#include "agent/TargetPause.h"

#include "core/BootClock.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <limits>

namespace rosemarylane {

namespace {

/// Retry delay while the target takes requests.
constexpr std::uint32_t BusyRetryAfterMs = 200;

} // namespace

void TargetPause::begin(std::chrono::milliseconds Duration) {
  bool Begins = Said.recordPause(Own, Duration, core::BootClock::now());
  if (Begins)
    telemetry::log(
        telemetry::Level::Info, "target wants no requests",
        {{"target", Own.Id.str()}, {"ms", std::int64_t(Duration.count())}});
}

std::chrono::milliseconds TargetPause::left() const {
  core::BootTime Now = core::BootClock::now();
  auto Until = Said.pausedUntil(Own, Now);
  return std::chrono::ceil<std::chrono::milliseconds>(Until.value_or(Now) -
                                                      Now);
}

std::uint32_t TargetPause::retryAfterMs() const {
  constexpr std::chrono::milliseconds::rep Most =
      std::numeric_limits<std::uint32_t>::max();
  auto Pause = std::min(left().count(), Most);
  return std::max(BusyRetryAfterMs, static_cast<std::uint32_t>(Pause));
}

} // namespace rosemarylane
