#include "core/BootClock.h"

#include <time.h>

namespace rosemarylane::core {

BootTime BootClock::now() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return BootTime(std::chrono::seconds(Now.tv_sec) +
                  std::chrono::nanoseconds(Now.tv_nsec));
}

} // namespace rosemarylane::core
