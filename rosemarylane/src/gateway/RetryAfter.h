#ifndef ROSEMARYLANE_GATEWAY_RETRY_AFTER_H
#define ROSEMARYLANE_GATEWAY_RETRY_AFTER_H

#include "gateway/GatewayContext.h"
#include "serving/LoadBalancer.h"
#include "serving/ReturnTime.h"

#include <chrono>
#include <optional>
#include <string>

namespace rosemarylane {

/// Chooses when the caller of a refused request may try again: at a time drawn
/// by `serving::returnTime`, and not before its targets want requests again.
/// @param Demand what the request required of its target; `Tried` is not
/// considered.
/// @param RoomIn when a place is expected for the request; empty if unknown.
std::chrono::milliseconds
retryAfter(GatewayContext &Context, serving::TargetRequirements Demand,
           const serving::ReturningCaller &Caller,
           std::optional<std::chrono::milliseconds> RoomIn);

/// @return the value of the header field `Retry-After`.
std::string retryAfterField(std::chrono::milliseconds Time);

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_RETRY_AFTER_H
