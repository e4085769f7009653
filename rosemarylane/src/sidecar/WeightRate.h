#ifndef ROSEMARYLANE_SIDECAR_WEIGHT_RATE_H
#define ROSEMARYLANE_SIDECAR_WEIGHT_RATE_H

#include "node/NodeSettings.h"

#include <cstdint>

namespace rosemarylane {

/// @return bytes per second of weights that a host takes, and that it sends. 0
/// if the link is not known.
/// @param Idle no live request uses the link; otherwise a part of it is left to
/// them.
inline std::uint64_t weightRate(const NodeSettings &Settings, bool Idle) {
  return static_cast<std::uint64_t>(
      static_cast<double>(Settings.LinkBytesPerSecond) *
      (Idle ? Settings.Limits.WeightsIdleLinkShare
            : Settings.Limits.WeightsLinkShare));
}

} // namespace rosemarylane

#endif // ROSEMARYLANE_SIDECAR_WEIGHT_RATE_H
