#ifndef ROSEMARYLANE_SWARM_ROLLOUT_H
#define ROSEMARYLANE_SWARM_ROLLOUT_H

#include "core/Digest.h"
#include "core/Ids.h"

#include <cstdint>
#include <vector>

namespace rosemarylane::swarm {

/// The known state of one replica of an entry.
struct ReplicaStatus {
  core::HostId Host;
  /// The loaded version; `none()` if nothing is loaded.
  core::Digest Loaded;
  /// Whether it serves requests and its engine counts as warm. An engine is
  /// cold after loading; the caller decides when it counts as warm.
  bool Serving = false;
  /// Whether it failed to load the version that is being rolled out.
  bool Failed = false;
};

/// Whether a replica may switch to the new version now.
enum class SwitchDecision {
  Switch,
  /// Preceding replicas switch first, or too few other replicas serve.
  Wait,
  /// The version fails to load, so no other replica switches to it.
  Stop,
};

/// Decides whether the replica on \p Self may unload its current version and
/// load \p Version.
///
/// Replicas switch in rank order. The first one switches alone, the others
/// follow in waves. At least \p ServingFloor replicas must serve at any time.
/// As reports from other replicas may be out of date, a replica assumes that
/// every replica ranked before it that has not switched yet is switching right
/// now. It switches only if enough other replicas still serve under this
/// assumption. The next wave therefore waits until the engines of the previous
/// one are warm. While more replicas have failed to load the version than serve
/// it, the rollout stops.
///
/// A replica that has nothing loaded reduces no capacity and never waits.
/// A pure function; may be called from any thread.
/// @param ServingFloor the number of replicas that must keep serving during the
/// rollout.
/// @param Replicas all live replicas in rank order, \p Self included.
SwitchDecision decideSwitch(const core::HostId &Self,
                            const core::Digest &Version,
                            std::uint32_t ServingFloor,
                            const std::vector<ReplicaStatus> &Replicas);

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_ROLLOUT_H
