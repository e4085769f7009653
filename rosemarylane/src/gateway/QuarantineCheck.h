#ifndef ROSEMARYLANE_GATEWAY_QUARANTINE_CHECK_H
#define ROSEMARYLANE_GATEWAY_QUARANTINE_CHECK_H

#include "gateway/Admission.h"
#include "gateway/CallerConnection.h"
#include "gateway/GatewayContext.h"
#include "gateway/TargetAttempt.h"
#include "node/PartQuarantineService.h"

#include <cstdint>
#include <optional>

namespace rosemarylane {

/// The quarantine's view of one request: asks it whether the request is
/// refused, and tells it what became of the request's attempts.
///
/// Used on the thread of the event loop. The constructor's arguments must
/// outlive it.
class QuarantineCheck {
public:
  QuarantineCheck(GatewayContext &Context, const AdmittedRequest &Admitted,
                  const CallerConnection::Request &Request)
      : Context(Context), Admitted(Admitted), Request(Request) {}

  /// @return whether the request is refused because such requests have killed
  /// targets.
  bool isRefused() const;

  /// Reports that the request may have killed the target of \p Attempt, which
  /// broke: if it was written, and the connection was lost before the answer
  /// was whole.
  void recordBreak(TargetAttempt &Attempt);

  void recordAnswerBegun();
  void recordAnsweredWhole();

private:
  /// @return a hash of the whole request: caller, path, prompt and body.
  std::uint64_t requestHash() const;
  /// @return what identifies the request to the quarantine.
  routing::PartQuarantine::Subject subject() const;

  GatewayContext &Context;
  const AdmittedRequest &Admitted;
  const CallerConnection::Request &Request;
  /// The result of `requestHash` once it was needed.
  mutable std::optional<std::uint64_t> Hash;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_QUARANTINE_CHECK_H
