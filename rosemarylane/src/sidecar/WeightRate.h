#ifndef ROSEMARYLANE_SIDECAR_WEIGHT_RATE_H
#define ROSEMARYLANE_SIDECAR_WEIGHT_RATE_H

#include "node/NodeSettings.h"

#include <cstdint>

namespace rosemarylane {

/// @return bytes per second of weights that a host takes, and that it sends;
/// the rest of its link is left to live requests. 0 if the link is not known.
inline std::uint64_t weightRate(const NodeSettings &Settings) {
  constexpr double LinkPart = 0.8;
  return static_cast<std::uint64_t>(
      static_cast<double>(Settings.LinkBytesPerSecond) * LinkPart);
}

} // namespace rosemarylane

#endif // ROSEMARYLANE_SIDECAR_WEIGHT_RATE_H
