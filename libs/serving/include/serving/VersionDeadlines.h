#ifndef ROSEMARYLANE_SERVING_VERSION_DEADLINES_H
#define ROSEMARYLANE_SERVING_VERSION_DEADLINES_H

#include "core/BootClock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylane::serving {

/// When each named version of a model has to be in force, as one process can
/// know it.
///
/// Load pattern: processes start, or are cut off, while versions are named in
/// quick succession. The store holds only the newest, so whoever did not see
/// the ones before it must assume that an older one is due. A process that was
/// cut off is not held to the bound until it has been back in contact for a
/// while; one that has just started has no such grace. A value type without a
/// clock.
class VersionDeadlines {
public:
  struct Settings {
    /// Time from the naming of a version until it is in force.
    std::chrono::milliseconds ActivationDelay{0};
    /// A process that was cut off counts as back in contact after this.
    std::chrono::milliseconds ReconnectGrace{0};
  };

  struct VersionDeadline {
    std::uint64_t Version = 0;
    core::BootTime Deadline{};
  };

  explicit VersionDeadlines(Settings Delays) : Delays(Delays) {}

  /// \p Version is the newest named one of \p Model.
  /// @param Unchanged when the version that was known here before was certainly
  /// still the newest; absent if none was known.
  /// @param NamedAfter when \p Version was certainly not named yet, as this
  /// process or a peer knows it.
  /// @return the bounds that are new or have become later, oldest version
  /// first.
  std::vector<VersionDeadline>
  recordVersion(const std::string &Model, std::uint64_t Version,
                std::optional<core::BootTime> UnchangedAt,
                std::optional<core::BootTime> NamedAfter, core::BootTime Now);

private:
  struct Newest {
    std::uint64_t Version = 0;
    core::BootTime LearntAt{};
    bool JustStarted = false;
    core::BootTime Deadline{};
  };

  core::BootTime deadline(std::optional<core::BootTime> NamedAfter,
                          const Newest &Known) const;

  Settings Delays;
  std::map<std::string, Newest> Models;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_VERSION_DEADLINES_H
