#ifndef ROSEMARYLANE_SERVING_VERSION_PLAN_H
#define ROSEMARYLANE_SERVING_VERSION_PLAN_H

#include "core/BootClock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace rosemarylane::serving {

/// What an agent knows about one version of its target's model. Operators name
/// a version by writing it to the store.
struct KnownVersion {
  std::uint64_t Number = 0;
  /// Lower bound of the time at which the version was named. Its activation
  /// delay is counted from here. This is the `StoredItem::ChangedAfter` of its
  /// item in the store. If that is unknown, the agent assumes the time at which
  /// it learnt of the version less the activation delay, so that the version
  /// counts as in force. Absent for the first version, which may exist without
  /// having been named.
  std::optional<core::BootTime> NamedAt;
  /// When this agent first learnt of the version.
  core::BootTime LearntAt{};
  /// Chunks that the host holds and chunks in total; both 0 until the manifest
  /// is known.
  std::size_t Held = 0;
  std::size_t Chunks = 0;
  /// When the newest chunk arrived.
  core::BootTime LastChunkAt{};
  /// The target's position, counted from 0, in the order in which targets
  /// switch to this version.
  std::size_t Rank = 0;
  /// Number of targets in that order, this one included.
  std::size_t SwitchingTargets = 1;

  bool complete() const { return Chunks > 0 && Held == Chunks; }
};

/// Decides which version of the weights an agent fetches and when its target
/// loads one.
///
/// Versions may be named in quick succession or shortly before the origin
/// fails, while all targets are needed to serve. The newest version is always
/// fetched; an older one is finished beside it if it has a clear head start,
/// its chunks still arrive, and it can serve before it is superseded. Targets
/// switch in rank order, spread over the time between the completion of the
/// download and the moment from which the loaded version may not be used any
/// more. A version is skipped if a newer one is complete and will be loaded
/// before that moment. A target keeps serving until its switch can actually be
/// made. Immutable value without a clock of its own; an agent builds a new one
/// for each decision.
class VersionPlan {
public:
  struct Settings {
    /// Time from the naming of a version until no request may start on an older
    /// one.
    std::chrono::milliseconds ActivationDelay{0};
    /// Time in which the host's link transfers one copy of the weights.
    std::chrono::duration<double> TransferTime{0};
  };

  /// Which version's weights the target loads now, and when it loads the next.
  struct LoadPlan {
    /// Number of the version to load now (not a time); 0 for none.
    std::uint64_t Now = 0;
    /// Planned time of a later load, which is announced to the gateways. Absent
    /// if a version is to be loaded now.
    std::optional<core::BootTime> NextAt;
  };

  /// @param Loaded version that the target has loaded; 0 for none.
  /// @param Known known versions in ascending order.
  VersionPlan(Settings Config, std::uint64_t Loaded,
              std::vector<KnownVersion> Known);

  /// @return the versions whose chunks to fetch now, the newest first; at most
  /// one of them is older than the newest known.
  std::vector<std::uint64_t> versionsToFetch(core::BootTime Now) const;

  /// @return the load to make or to announce. A version is considered once at
  /// least half of its chunks are present, and while chunks still arrive or all
  /// are present.
  LoadPlan plannedLoad(core::BootTime Now) const;

  /// @return whether the target cannot serve any request, because it has no
  /// version loaded or a newer one has taken effect. Weight transfers may then
  /// use the whole link.
  bool cannotServe(core::BootTime Now) const;

  /// @return whether the newest version will not be complete, at the usual
  /// rate, by the time from which neither the loaded version nor one that is
  /// complete may be used.
  bool isLate(core::BootTime Now) const;

private:
  /// An incomplete version is finished beside the next one only if it was
  /// learnt of at least this long before the next one.
  static constexpr std::chrono::milliseconds MinHeadStart{1000};
  /// An incomplete version is finished beside the next one only if it will be
  /// complete before this fraction of the next one's activation delay has
  /// passed.
  static constexpr double FinishOlderFraction = 0.75;
  /// An incomplete version is given up for the next one if no chunk of it has
  /// arrived for this long.
  static constexpr std::chrono::milliseconds FinishStallTimeout{1000};
  /// Times of the first and the last switch, as fractions of the activation
  /// delay, counted from the naming of the version.
  static constexpr double FirstSwitchFraction = 0.5;
  static constexpr double LastSwitchFraction = 0.91;
  /// If no chunk has arrived for this long, the completion time is unknown.
  static constexpr std::chrono::milliseconds StallTimeout{400};

  /// @return whether \p V is incomplete and is to be finished although a newer
  /// version is named.
  bool worthFinishing(const KnownVersion &V, core::BootTime Now) const;
  /// @return when all chunks arrived or, at the link's rate, will have arrived.
  core::BootTime completionTime(const KnownVersion &V,
                                core::BootTime Now) const;
  core::BootTime switchTime(const KnownVersion &V, core::BootTime Now) const;
  /// @return whether chunks of the version still arrive or all are present.
  static bool isProgressing(const KnownVersion &V, core::BootTime Now);
  /// @return whether a load of the version can be planned now.
  bool canPlanLoad(const KnownVersion &V, core::BootTime Now) const;
  /// @return whether loading \p V would gain nothing, because it is superseded
  /// or a newer version, complete already, will be loaded before the loaded one
  /// goes out of use.
  bool isSkipped(const KnownVersion &V, core::BootTime Now) const;
  /// @return the oldest named version that is newer than \p After, or null.
  const KnownVersion *nextNamed(std::uint64_t After) const;
  /// @return the time at which \p Fraction of the activation delay of \p V has
  /// passed since `NamedAt`, which must be present.
  core::BootTime timeAfterNaming(const KnownVersion &V, double Fraction) const;

  Settings Config;
  std::uint64_t Loaded;
  std::vector<KnownVersion> Known;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_VERSION_PLAN_H
