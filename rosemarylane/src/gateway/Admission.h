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

/// A request that may be sent on, with all that was decided about it.
struct AdmittedRequest {
  platform::RequestMarks Marks;
  /// Keeps `Route` alive while newer configurations come into force.
  std::shared_ptr<const serving::ServingConfig> Config;
  const serving::Route *Route = nullptr;
  std::string Service;
  std::string Workspace;
  std::uint32_t Priority = 0;
  std::vector<core::RegionId> AllowedRegions;
  /// Until the caller or the route gives up.
  std::chrono::milliseconds TimeLimit{0};
};

/// What was decided; `Status` is 0 for a request that is admitted.
struct Admission {
  unsigned Status = 0;
  const char *Reason = "";
  AdmittedRequest Request;
};

/// Finds the route and workspace of \p Request. A request with a key is
/// admitted only while there is a fresh proof that the store still holds the
/// configuration.
Admission admitRequest(GatewayContext &Context,
                       const CallerConnection::Request &Request);

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_ADMISSION_H
