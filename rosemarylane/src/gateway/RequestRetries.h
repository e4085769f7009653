#ifndef ROSEMARYLANE_GATEWAY_REQUEST_RETRIES_H
#define ROSEMARYLANE_GATEWAY_REQUEST_RETRIES_H

#include "gateway/Admission.h"
#include "gateway/GatewayContext.h"

#include <cstddef>

namespace rosemarylane {

/// The attempts of one request, as the retry budget of its service counts them.
///
/// Its end ends the retries that still count. Used on the thread of the event
/// loop. The constructor's arguments must outlive it.
class RequestRetries {
public:
  RequestRetries(GatewayContext &Context, const AdmittedRequest &Admitted)
      : Context(Context), Admitted(Admitted) {}
  RequestRetries(const RequestRetries &) = delete;
  RequestRetries &operator=(const RequestRetries &) = delete;
  ~RequestRetries() { recordArrived(); }

  void recordFirstAttempt();

  /// @return whether `tryAcquire` would succeed.
  bool canAcquire();
  /// @return whether another attempt may be made; it then counts as a retry.
  bool tryAcquire();

  /// Keeps the retry of an attempt that ended before anything was sent; the
  /// next `tryAcquire` takes it.
  void recordUnsent() { ++Unsent; }

  /// Records that no attempt made so far can arrive at its target any more: the
  /// last one was answered or its connection is closed. Ends unsent ones too.
  void recordArrived();

private:
  serving::RetryShare &share();

  GatewayContext &Context;
  const AdmittedRequest &Admitted;
  /// Retries that may still arrive.
  std::size_t Open = 0;
  /// Of these, the ones that the next attempts take.
  std::size_t Unsent = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_REQUEST_RETRIES_H
