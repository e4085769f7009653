#ifndef ROSEMARYLANE_SERVING_REGISTERED_TARGET_H
#define ROSEMARYLANE_SERVING_REGISTERED_TARGET_H

#include "core/Ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace rosemarylane::serving {

/// One incarnation of a target; a restart begins another.
using TargetId = core::Id<struct TargetTag>;

/// A model that a target holds whole.
struct LoadedModel {
  std::string Model;
  std::uint64_t Version = 0;

  bool operator==(const LoadedModel &) const = default;
};

/// A target as it has registered itself with the platform.
struct RegisteredTarget {
  TargetId Id;
  std::string Service;
  /// `IP:port`.
  std::string Address;
  core::FailureDomainId FailureDomain;
  /// Requests that run at once.
  std::uint32_t Slots = 1;
  /// Leaving: takes no new work.
  bool Draining = false;
  /// How much longer the target stays cold, from the moment of the report.
  std::chrono::milliseconds WarmupRemaining{0};
  /// Whether the target tells which models it holds; plain services do not.
  bool ReportsModels = false;
  std::vector<LoadedModel> Models;
  /// When this incarnation began, in milliseconds since the epoch; 0 if not
  /// told.
  std::int64_t StartTimeMs = 0;

  bool operator==(const RegisteredTarget &) const = default;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_REGISTERED_TARGET_H
