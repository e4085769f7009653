#ifndef ROSEMARYLANE_SERVING_AGENT_REPORT_H
#define ROSEMARYLANE_SERVING_AGENT_REPORT_H

#include "serving/RegisteredTarget.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace rosemarylane::serving {

/// Load of a target, as reported by the target or its agent.
struct LoadReport {
  /// Requests that the target reports as running.
  std::uint32_t Running = 0;
  /// Requests that the target reports as waiting. The load balancer assumes
  /// that an engine counts its requests without a first token here: those in
  /// its queue and the one whose prompt is being processed. Nothing checks this
  /// assumption.
  std::uint32_t Waiting = 0;
  /// Fraction of the engine's KV cache in use, 0 to 1.
  double KvCacheUsedFraction = 0;
  /// How long work takes at the moment: 1 as usual; 2 for twice as long.
  double Slowness = 1;
  /// The target itself states `Slowness`.
  bool StatesSlowness = false;
};

/// Report of an agent about the target on its host.
struct AgentReport {
  /// `IP:port` of the target.
  std::string Address;
  /// Start of the target's incarnation, as in `RegisteredTarget::StartTimeMs`;
  /// 0 if unknown.
  std::int64_t StartTimeMs = 0;
  LoadReport Load;
  /// The load of a version is in progress or is being started. The target takes
  /// no new requests.
  bool Switching = false;
  /// The target is about to end.
  bool Leaving = false;
  /// Time until the planned load of another version; 0 if none is planned.
  /// Until then the target takes requests that are expected to end in time.
  std::chrono::milliseconds TimeToSwitch{0};
  std::vector<LoadedModel> Models;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_AGENT_REPORT_H
