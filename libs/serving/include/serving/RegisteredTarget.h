#ifndef ROSEMARYLANE_SERVING_REGISTERED_TARGET_H
#define ROSEMARYLANE_SERVING_REGISTERED_TARGET_H

#include "core/Ids.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace rosemarylane::serving {

/// The name of a target. Mostly a restart brings a new one.
using TargetId = core::Id<struct TargetTag>;

/// Identifies one incarnation of a target, also where it restarts under the
/// name that it had.
struct TargetIncarnation {
  TargetId Id;
  /// Start in milliseconds since the epoch; 0 if unknown.
  std::int64_t StartTimeMs = 0;

  auto operator<=>(const TargetIncarnation &) const = default;
};

/// A model that a target has loaded completely.
struct LoadedModel {
  std::string Model;
  std::uint64_t Version = 0;

  bool operator==(const LoadedModel &) const = default;
};

/// A target as registered in the platform's store.
struct RegisteredTarget {
  TargetId Id;
  std::string Service;
  /// `IP:port`.
  std::string Address;
  core::FailureDomainId FailureDomain;
  /// Requests that the target runs concurrently.
  std::uint32_t Slots = 1;
  /// The target is shutting down and takes no new requests.
  bool Draining = false;
  /// Time for which the target stays cold. `LoadBalancer::setRegistered` counts
  /// it from the call in which the field has changed; a registration with the
  /// same value does not restart the time.
  std::chrono::milliseconds WarmupRemaining{0};
  /// Whether the target reports its loaded models; plain services do not.
  bool ReportsModels = false;
  std::vector<LoadedModel> Models;
  /// Start of this incarnation in milliseconds since the epoch; 0 if unknown.
  std::int64_t StartTimeMs = 0;

  TargetIncarnation incarnation() const { return {Id, StartTimeMs}; }

  bool operator==(const RegisteredTarget &) const = default;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_REGISTERED_TARGET_H
