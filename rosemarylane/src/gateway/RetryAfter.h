#ifndef ROSEMARYLANE_GATEWAY_RETRY_AFTER_H
#define ROSEMARYLANE_GATEWAY_RETRY_AFTER_H

#include "gateway/GatewayContext.h"
#include "serving/LoadBalancer.h"

#include <string>

namespace rosemarylane {

/// Chooses when the caller of a refused request may try again: after a random
/// time, and not before its targets want requests again.
/// @param Demand what the request required of its target; `Tried` is not
/// considered.
/// @return the value of the header field `Retry-After`, in seconds.
std::string retryAfter(GatewayContext &Context,
                       serving::TargetRequirements Demand);

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_RETRY_AFTER_H
