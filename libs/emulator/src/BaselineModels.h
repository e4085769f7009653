#ifndef ROSEMARYLANE_EMULATOR_BASELINE_MODELS_H
#define ROSEMARYLANE_EMULATOR_BASELINE_MODELS_H

#include "emulator/RolloutModel.h"

namespace rosemarylane::emulator {

/// Every host reads a full copy over the origin's link, which serves the hosts
/// round-robin, chunk by chunk.
FleetResult simulateOriginOnly(const FleetSettings &Settings);

/// A binary tree over the whole fleet. Each host sends every chunk to two
/// children one after the other, so its uplink carries two copies.
FleetResult simulateFixedTree(const FleetSettings &Settings);

} // namespace rosemarylane::emulator

#endif // ROSEMARYLANE_EMULATOR_BASELINE_MODELS_H
