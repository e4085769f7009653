#include "gateway/RequestRetries.h"

namespace rosemarylane {

using core::BootClock;

void RequestRetries::recordFirstAttempt() {
  share().recordFirstAttempt(BootClock::now());
}

bool RequestRetries::canAcquire() {
  return Unsent > 0 || share().canRetry(BootClock::now());
}

bool RequestRetries::tryAcquire() {
  if (Unsent > 0) {
    --Unsent;
    return true;
  }
  bool Acquired = share().tryAcquireRetry(BootClock::now());
  Context.Metrics.retryDecided(Admitted.Service, Acquired);
  Open += Acquired ? 1 : 0;
  return Acquired;
}

void RequestRetries::recordArrived() {
  Unsent = 0;
  for (; Open > 0; --Open)
    share().recordRetryEnd(BootClock::now());
}

serving::RetryShare &RequestRetries::share() {
  return Context.RetryBudgets.share(Admitted.Service);
}

} // namespace rosemarylane
