#ifndef ROSEMARYLANE_SIDECAR_WEIGHT_RATE_H
#define ROSEMARYLANE_SIDECAR_WEIGHT_RATE_H

#include "node/NodeSettings.h"

#include <cstdint>

namespace rosemarylane {

/// @param Idle whether no live request uses the link; otherwise part of the
/// link is left to live requests.
/// @return the rate at which a host may receive weights, and the rate at which
/// it may send them, in bytes per second; 0 if the link speed is unknown.
inline std::uint64_t weightRate(const NodeSettings &Settings,
                                bool UseWholeLink) {
  return static_cast<std::uint64_t>(
      static_cast<double>(Settings.LinkBytesPerSecond) *
      (UseWholeLink ? Settings.Limits.WeightsIdleLinkPart
                    : Settings.Limits.WeightsLinkPart));
}

} // namespace rosemarylane

#endif // ROSEMARYLANE_SIDECAR_WEIGHT_RATE_H
