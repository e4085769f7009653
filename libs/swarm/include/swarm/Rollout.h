#ifndef ROSEMARYLANE_SWARM_ROLLOUT_H
#define ROSEMARYLANE_SWARM_ROLLOUT_H

#include "core/Digest.h"
#include "core/Ids.h"

#include <cstdint>
#include <vector>

namespace rosemarylane::swarm {

/// What is known of one replica of an entry.
struct ReplicaStatus {
  core::HostId Host;
  /// The version that is loaded; none if there is none.
  core::Digest Loaded;
  /// Whether it takes requests and its engine is warm.
  bool Serving = false;
  /// Whether it failed to load the version that is being rolled out.
  bool Failed = false;
};

/// Whether a replica may switch to the new version now.
enum class SwitchDecision {
  Switch,
  /// Others switch first, or too few replicas serve.
  Wait,
  /// The version fails to load: nobody else takes it.
  Stop,
};

/// Decides whether \p Self may drop what it serves and load \p Version.
///
/// Replicas switch in rank order. The first one goes alone; the others follow
/// in waves: a replica goes when the serving floor holds even if all replicas
/// ranked before it that have not switched yet are switching now. So the next
/// wave waits until the targets of the one before are warm. While more replicas
/// have failed to load the version than serve it, the rollout stops.
///
/// A replica that has nothing loaded takes nothing away and never waits.
/// @param Replicas all live replicas in rank order, \p Self included.
SwitchDecision decideSwitch(const core::HostId &Self,
                            const core::Digest &Version,
                            std::uint32_t ServingFloor,
                            const std::vector<ReplicaStatus> &Replicas);

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_ROLLOUT_H
