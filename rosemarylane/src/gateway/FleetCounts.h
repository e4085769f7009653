#ifndef ROSEMARYLANE_GATEWAY_FLEET_COUNTS_H
#define ROSEMARYLANE_GATEWAY_FLEET_COUNTS_H

#include "gateway/GatewayContext.h"
#include "serving/GatewayCensus.h"
#include "serving/PeerTable.h"

#include <cstddef>

namespace rosemarylane {

/// Tells the parts of a gateway how many gateways there are, which divide among
/// them what the fleet shares: free slots of targets, the rate of cold targets,
/// limits that targets name, and the retry budget.
///
/// Used on the thread of the event loop. The constructor's argument must
/// outlive it.
class FleetCounts {
public:
  explicit FleetCounts(GatewayContext &Context);

  /// Passes on what \p Peers knows. Call it several times a second, and when a
  /// peer is new.
  void update(const serving::PeerTable &Peers);

private:
  /// Reports the gateways among which the retry budget is divided.
  void reportBudgetSharers(const serving::GatewayFleet &Fleet);

  GatewayContext &Context;
  core::BootTime StartedAt;
  serving::GatewayCensus Census;
  /// Gateways among which the retry budget was last divided; 0 if this one had
  /// not heard of others.
  std::size_t BudgetSharers = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_FLEET_COUNTS_H
