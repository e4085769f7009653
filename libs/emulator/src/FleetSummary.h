#ifndef ROSEMARYLANE_EMULATOR_FLEET_SUMMARY_H
#define ROSEMARYLANE_EMULATOR_FLEET_SUMMARY_H

#include "FleetHosts.h"
#include "emulator/RolloutModel.h"

#include <deque>

namespace rosemarylane::emulator {

/// @return the results as far as they show in the hosts.
/// @param Start when the run began.
FleetResult summarize(const std::deque<FleetHost> &Hosts,
                      const FleetSettings &Settings, core::TimePoint Start);

} // namespace rosemarylane::emulator

#endif // ROSEMARYLANE_EMULATOR_FLEET_SUMMARY_H
