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
  platform::RequestMarks Marks;
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
/// otherwise the HTTP status of the refusal; `Reason` is its detail text.
struct Admission {
  unsigned Status = 0;
  const char *Reason = "";
  AdmittedRequest Request;
};

/// Resolves the route, workspace and service of \p Request and checks its API
/// key.
///
/// If the configuration has keys, a request on a route that is not anonymous
/// needs a known key. While `RefuseUnproved` is set, such a request is also
/// refused unless the store has recently confirmed that it still holds the
/// configuration, so that a revoked key stops working within the revocation
/// time.
/// @param Context state of the gateway; used on its loop's thread.
/// @return the admitted request, or the status and reason of the refusal.
Admission admitRequest(GatewayContext &Context,
                       const CallerConnection::Request &Request);

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_ADMISSION_H
