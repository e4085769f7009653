#ifndef ROSEMARYLANE_SIDECAR_WEIGHT_RATE_H
#define ROSEMARYLANE_SIDECAR_WEIGHT_RATE_H

#include "node/NodeSettings.h"

#include <cstdint>

namespace rosemarylane {

/// Limits the transfer of weights to a fraction of the bandwidth of the host's
/// link: `WeightsIdleLinkShare` while the target cannot serve callers'
/// requests, `WeightsLinkShare` otherwise.
/// @param UseWholeLink whether the target cannot serve callers' requests, so
/// that nothing has to be left to them.
/// @return the rate limit, in bytes per second, which holds for each direction
/// separately; 0 if the link speed is unknown.
inline std::uint64_t weightRate(const NodeSettings &Settings,
                                bool UseWholeLink) {
  return static_cast<std::uint64_t>(
      static_cast<double>(Settings.LinkBytesPerSecond) *
      (UseWholeLink ? Settings.Limits.WeightsIdleLinkShare
                    : Settings.Limits.WeightsLinkShare));
}

} // namespace rosemarylane

#endif // ROSEMARYLANE_SIDECAR_WEIGHT_RATE_H
