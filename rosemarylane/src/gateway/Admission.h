#ifndef ROSEMARYLANE_GATEWAY_ADMISSION_H
#define ROSEMARYLANE_GATEWAY_ADMISSION_H

#include "gateway/CallerConnection.h"
#include "gateway/GatewayContext.h"
#include "platform/RequestHeaders.h"
#include "serving/ServingConfig.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace rosemarylane {

/// A request that may be sent to a target, with its routing decisions.
struct AdmittedRequest {
  /// Values parsed from the header fields of the request.
  platform::RequestMarks HeaderValues;
  /// Configuration that the request was admitted under; keeps `Route` alive
  /// after a newer configuration replaces it.
  std::shared_ptr<const serving::ServingConfig> Config;
  const serving::Route *Route = nullptr;
  std::string Service;
  std::string Workspace;
  std::uint32_t Priority = 0;
  std::vector<core::RegionId> AllowedRegions;
  /// Time that the request may take: the smaller of the route's timeout and the
  /// caller's.
  std::chrono::milliseconds TimeLimit{0};
};

/// Result of `admitRequest`. `Status` is 0 if the request is admitted,
/// otherwise the HTTP status of the refusal; `Reason` is its detail text. After
/// a refusal, `Request` holds what was found before it, and `Route` may be
/// null.
struct Admission {
  unsigned Status = 0;
  const char *Reason = "";
  AdmittedRequest Request;
};

/// Resolves the route, workspace and service of \p Request and checks its API
/// key.
///
/// If the configuration has keys, a request on a route that is not anonymous
/// needs a known key. While `ServiceObjectives::FailClosed` is set in the
/// settings of the gateway, such a request is also refused unless the store
/// recently confirmed that the gateway's copy of the configuration is current,
/// so that a revoked key stops working within
/// `ServiceObjectives::MaxKeyRevocationDelay`.
///
/// This check comes before the request waits for a target in a
/// `serving::AdmissionQueue`.
/// @param Context state of the gateway; used on its loop's thread.
/// @return the admitted request, or the status and reason of the refusal.
Admission admitRequest(GatewayContext &Context,
                       const CallerConnection::Request &Request);

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_ADMISSION_H
