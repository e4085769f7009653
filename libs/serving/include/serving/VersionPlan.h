#ifndef ROSEMARYLANE_SERVING_VERSION_PLAN_H
#define ROSEMARYLANE_SERVING_VERSION_PLAN_H

#include "core/BootClock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace rosemarylane::serving {

/// What an agent knows about one version of its target's model.
struct KnownVersion {
  std::uint64_t Number = 0;
  /// Earliest time at which the version may have been named; absent for the
  /// first version, which may exist without having been named.
  std::optional<core::BootTime> NamedAt;
  core::BootTime LearntAt{};
  /// Chunks that the host holds and chunks in total; both 0 until the manifest
  /// is known.
  std::size_t Held = 0;
  std::size_t Chunks = 0;
  /// When the newest chunk arrived.
  core::BootTime LastChunkAt{};
  /// The target's position among the targets that switch to this version, and
  /// their number.
  std::size_t Rank = 0;
  std::size_t Fleet = 1;

  bool complete() const { return Chunks > 0 && Held == Chunks; }
};

/// Decides which version of the weights an agent fetches and when its target
/// loads one.
///
/// Versions may be named in quick succession or shortly before the origin
/// fails, while all targets are needed to serve. The newest version is fetched,
/// unless an older one has a clear head start and can still serve before it is
/// superseded. Targets switch in rank order, spread over the time between the
/// completion of the download and the moment at which the version takes effect.
/// A target keeps serving until its switch can actually be made. Immutable
/// value without a clock of its own; an agent builds a new one for each
/// decision.
class VersionPlan {
public:
  struct Settings {
    /// Time from the naming of a version until no request may start on an older
    /// one.
    std::chrono::milliseconds ActivationDelay{0};
    /// Time in which the host's link transfers one copy of the weights.
    std::chrono::duration<double> TransferTime{0};
  };

  /// Which version the target loads now, and when it loads the next.
  struct Load {
    /// The version to load now; 0 for none.
    std::uint64_t Now = 0;
    /// Planned time of a later load, which is announced to the gateways.
    std::optional<core::BootTime> NextAt;
  };

  /// @param Loaded version that the target has loaded; 0 for none.
  /// @param Known known versions in ascending order.
  VersionPlan(Settings Config, std::uint64_t Loaded,
              std::vector<KnownVersion> Known);

  /// @return the version whose chunks to fetch now; 0 for none.
  std::uint64_t versionToFetch(core::BootTime Now) const;

  Load plannedLoad(core::BootTime Now) const;

  /// @return whether the target cannot serve any request, because it has no
  /// version loaded or a newer one has taken effect. Weight transfers may then
  /// use the whole link.
  bool cannotServe(core::BootTime Now) const;

private:
  /// A version that was learnt of at least this long before the next one is
  /// finished first.
  static constexpr std::chrono::milliseconds MinHeadStart{1000};
  /// A version that completes later than this fraction of the next version's
  /// activation delay is not worth finishing.
  static constexpr double UsefulFraction = 0.75;
  /// Times of the first and the last switch, as fractions of the activation
  /// delay.
  static constexpr double FirstSwitchFraction = 0.5;
  static constexpr double LastSwitchFraction = 0.91;
  /// If no chunk has arrived for this long, the completion time is unknown.
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
