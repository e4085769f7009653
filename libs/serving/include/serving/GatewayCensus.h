#ifndef ROSEMARYLANE_SERVING_GATEWAY_CENSUS_H
#define ROSEMARYLANE_SERVING_GATEWAY_CENSUS_H

#include "core/BootClock.h"
#include "core/Ids.h"
#include "serving/PeerTable.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rosemarylane::serving {

/// The gateways among which a budget of the fleet is divided.
struct GatewayFleet {
  /// Names of the gateways that are known, this one included, in ascending
  /// order.
  std::vector<std::string> Names;
  /// Gateways that are assumed besides, in failure domains that were not heard
  /// from.
  std::size_t Assumed = 0;

  std::size_t size() const { return Names.size() + Assumed; }
  bool operator==(const GatewayFleet &) const = default;
};

/// The gateways that may be sending, for budgets that must not be exceeded when
/// processes can't reach each other.
///
/// A gateway that is cut off from others still receives requests and sends, and
/// so do they. `PeerTable` forgets it, as most of its users must; here it is
/// remembered for far longer than the usual partition, and where nothing was
/// ever heard, gateways are assumed. Both err towards a smaller share for each.
/// Has no clock of its own; not thread-safe.
class GatewayCensus {
public:
  /// Time for which a gateway that is silent is counted.
  static constexpr std::chrono::minutes Retention{10};
  /// Gateways assumed in a failure domain that was not heard from, unless the
  /// largest known one has more.
  static constexpr std::size_t MinAssumedPerDomain = 4;

  /// @param Self this gateway.
  /// @param Domains the failure domains of the fleet.
  /// @param HasSeeds the settings name other hosts of the fleet, so that a
  /// process that hears of none is cut off.
  GatewayCensus(const Peer &Self, std::set<core::FailureDomainId> Domains,
                bool HasSeeds)
      : Self(Self), Domains(std::move(Domains)), HasSeeds(HasSeeds) {}

  /// Takes over what \p Peers knows.
  void update(const PeerTable &Peers, core::BootTime Now);

  /// @return the gateways that may be sending; empty if no other process has
  /// listed those that it knows but should have.
  std::optional<GatewayFleet> fleet() const;

  /// @return the number of gateways of this failure domain that may be sending,
  /// this one included; an assumption if this process has heard of no other
  /// process but should.
  std::size_t inOwnDomain() const;

private:
  struct Sighting {
    core::FailureDomainId Domain;
    core::BootTime LastHeard;
  };

  Peer Self;
  std::set<core::FailureDomainId> Domains;
  bool HasSeeds;
  /// Another process has listed those that it knows since this one started.
  bool HeardOfOthers = false;
  /// The other gateways.
  std::map<std::string, Sighting> Known;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_GATEWAY_CENSUS_H
