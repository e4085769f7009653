#ifndef ROSEMARYLANE_SIDECAR_WEIGHT_RATE_H
#define ROSEMARYLANE_SIDECAR_WEIGHT_RATE_H

#include "node/NodeSettings.h"

#include <cstdint>

namespace rosemarylane {

/// Computes the rate limit for transfers of weights, as a fraction of the
/// bandwidth of the host's link: `WeightsIdleLinkShare` while the target cannot
/// serve callers' requests, `WeightsLinkShare` otherwise.
/// @param UseIdleShare whether the target cannot serve callers' requests, so
/// that no bandwidth has to be reserved for them.
/// @return the rate limit, in bytes per second, which holds for each direction
/// separately; 0, which means no limit, if the link speed is unknown.
inline std::uint64_t weightRateLimit(const NodeSettings &Settings,
                                     bool UseIdleShare) {
  return static_cast<std::uint64_t>(
      static_cast<double>(Settings.LinkBytesPerSecond) *
      (UseIdleShare ? Settings.Limits.WeightsIdleLinkShare
                    : Settings.Limits.WeightsLinkShare));
}

} // namespace rosemarylane

#endif // ROSEMARYLANE_SIDECAR_WEIGHT_RATE_H
