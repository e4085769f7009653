#ifndef ROSEMARYLANE_SERVING_LOAD_BALANCER_SETTINGS_H
#define ROSEMARYLANE_SERVING_LOAD_BALANCER_SETTINGS_H

#include "core/Ids.h"
#include "serving/DomainSpill.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace rosemarylane::serving {

/// Limits and weights of the load balancer, constant within a process.
///
/// Targets are compared by a score, and the lowest is selected. A target with
/// all its slots in use and no waiting requests scores 16 for its load, so that
/// one point is one request at a target with 16 slots. `RemotePenalty`,
/// `WaitingPenalty` and `AgentSilencePenalty` are in points. A target's KV
/// cache adds the fraction of it that is in use, that is one point if it is
/// full.
///
/// Engines whose timings are configured are compared by the time in which the
/// first event is expected there. A request without a first token delays it by
/// the time in which its prompt is read, and stands for as many points as it
/// would add; by that relation, the penalties are converted to time.
struct LoadBalancerSettings {
  core::FailureDomainId OwnDomain;
  std::map<core::FailureDomainId, core::RegionId> RegionOf;
  /// Maximum number of requests that an engine is given beyond its slots. They
  /// wait in the engine for less time than the
  /// gateway would need to learn of a free slot. May be a fraction: each
  /// gateway rounds its share of the free places at random.
  double EngineQueue = 1.5;
  /// Maximum number of requests without a first token at one engine, which is
  /// limited because an engine processes prompts one at a time.
  double EngineWaiting = 6;
  /// Points that each request without a first token adds to its engine's score,
  /// besides its part in the load.
  double WaitingPenalty = 2;
  /// Requests that a plain service is given beyond its slots, as a fraction of
  /// its slots.
  double PlainQueueRatio = 1.0;
  /// Points by which a target in another failure domain must be better to be
  /// preferred, without `Spill`.
  double RemotePenalty = 4;
  /// Minimum weight of a gateway in sharing the free slots of targets in other
  /// failure domains; gateways of the target's own domain have weight 1. It
  /// applies if the gateway's domain has at least as many targets per gateway
  /// as the fleet. With fewer, the weight rises linearly to 1 for a domain
  /// without targets.
  double MinRemoteWeight = 0.25;
  /// An agent that has reported before and is silent for longer may have failed
  /// with its host. `AgentSilencePenalty` is then added to its target's score.
  std::chrono::milliseconds AgentTimeout{900};
  double AgentSilencePenalty = 12;
  /// Load reports older than this are ignored.
  std::chrono::milliseconds ReportTtl{1500};
  /// Initial and maximum time for which a failed target is ejected.
  std::chrono::milliseconds InitialEjectionTime{400};
  std::chrono::milliseconds MaxEjectionTime{3000};
  /// Time by which a request may overrun a planned switch of its target.
  std::chrono::milliseconds SwitchSlack{250};
  /// Time to the start of a response up to which a target does not count as
  /// slow.
  std::chrono::milliseconds BaselineResponseTime{200};
  /// Each such amount by which the time to the start of a response exceeds
  /// `BaselineResponseTime` adds one point to the target's score.
  std::chrono::milliseconds ResponseTimePerPoint{40};
  /// Half-life of the measured time in excess of `BaselineResponseTime`.
  std::chrono::milliseconds ResponseHalfLife{1500};
  /// Time before the deadline of a newer version from which targets with an
  /// older one are no longer selected.
  std::chrono::milliseconds VersionMargin{500};
  /// Time before the deadline of a newer version by which requests that were
  /// already sent to a target with an older one must have started there.
  std::chrono::milliseconds StartMargin{200};
  /// Consecutive error responses after which a target is ejected.
  std::uint32_t FailuresToEject = 3;
  /// Decides how much leaves the failure domain; if empty, `RemotePenalty` and
  /// `MinRemoteWeight` alone do.
  std::optional<DomainSpillSettings> Spill;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_LOAD_BALANCER_SETTINGS_H
