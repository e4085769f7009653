#ifndef ROSEMARYLANE_SERVING_VERSION_PLAN_H
#define ROSEMARYLANE_SERVING_VERSION_PLAN_H

#include "core/BootClock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace rosemarylane::serving {

/// What an agent knows of one version of its target's model.
struct KnownVersion {
  std::uint64_t Number = 0;
  /// The earliest moment at which it may have been named; absent for the first
  /// version, which may be there without being named.
  std::optional<core::BootTime> NamedAt;
  core::BootTime LearntAt{};
  /// Chunks that the host holds, of how many; 0 of 0 before the manifest is
  /// known.
  std::size_t Held = 0;
  std::size_t Chunks = 0;
  /// When the newest chunk came.
  core::BootTime LastChunkAt{};
  /// The target's position among the targets that switch to it, and how many
  /// these are.
  std::size_t Rank = 0;
  std::size_t Fleet = 1;

  bool complete() const { return Chunks > 0 && Held == Chunks; }
};

/// Which version of the weights an agent fetches and when its target loads one.
///
/// Load pattern: versions named in quick succession, or shortly before the
/// origin goes away, while every target is needed to serve. The newest version
/// is fetched, unless an older one was begun clearly earlier and can still
/// serve. Targets switch in rank order, spread over the time between the moment
/// at which the version is whole and the moment at which it is in force; a
/// target goes on serving until a switch can really be made. A value type
/// without a clock.
class VersionPlan {
public:
  struct Settings {
    /// Time from the naming of a version until no request may begin on an older
    /// one.
    std::chrono::milliseconds ActivationDelay{0};
    /// Time that one copy of the weights takes over the host's link.
    std::chrono::duration<double> TransferTime{0};
  };

  /// What the target is to load, and when it is to load next.
  struct Load {
    /// The version to load now; 0 for none.
    std::uint64_t Now = 0;
    /// When a later load is planned. Gateways are told of it.
    std::optional<core::BootTime> NextAt;
  };

  /// @param Loaded version that the target holds; 0 for none.
  /// @param Known versions in rising order.
  VersionPlan(Settings Config, std::uint64_t Loaded,
              std::vector<KnownVersion> Known);

  /// @return the version whose chunks are fetched now; 0 for none.
  std::uint64_t versionToFetch(core::BootTime Now) const;

  Load plannedLoad(core::BootTime Now) const;

  /// @return whether the target can serve nobody, because it holds no version
  /// or a newer one is in force. Weights may then take the whole link.
  bool cannotServe(core::BootTime Now) const;

private:
  /// A version begun so long before the next one was named is finished first.
  static constexpr std::chrono::milliseconds MinHeadStart{1000};
  /// Part of the time until the next version is in force up to which the one
  /// before it can still serve.
  static constexpr double UsefulFraction = 0.75;
  /// Parts of the time until a version is in force: the first and the last
  /// switch.
  static constexpr double FirstSwitchFraction = 0.5;
  static constexpr double LastSwitchFraction = 0.91;
  /// Without a new chunk for so long, it is not known when the version will be
  /// whole.
  static constexpr std::chrono::milliseconds StallTimeout{400};

  bool worthFinishing(const KnownVersion &V, core::BootTime Now) const;
  core::BootTime completionTime(const KnownVersion &V,
                                core::BootTime Now) const;
  core::BootTime switchTime(const KnownVersion &V, core::BootTime Now) const;
  const KnownVersion *nextNamed(std::uint64_t After) const;
  core::BootTime timeAtFraction(const KnownVersion &V, double Fraction) const;

  Settings Config;
  std::uint64_t Loaded;
  std::vector<KnownVersion> Known;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_VERSION_PLAN_H
