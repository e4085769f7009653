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

/// Derives when each named version of a model has to take effect from what one
/// process knows.
///
/// The store holds only the newest version. A process that starts or is
/// partitioned while versions are named in quick succession may have missed
/// some, and has to assume that an older one is already due. A process that was
/// partitioned is exempt until it has been back in contact for
/// `ReconnectGrace`; a process that has just started is not. Value type without
/// a clock of its own; not thread-safe.
class VersionDeadlines {
public:
  struct Settings {
    /// Time from the naming of a version until it takes effect.
    std::chrono::milliseconds ActivationDelay{0};
    /// Time for which a process that was partitioned is exempt after it is back
    /// in contact.
    std::chrono::milliseconds ReconnectGrace{0};
  };

  struct VersionDeadline {
    std::uint64_t Version = 0;
    core::BootTime Deadline{};
  };

  explicit VersionDeadlines(Settings Delays) : Delays(Delays) {}

  /// Records that \p Version is the newest named version of \p Model.
  /// @param UnchangedAt latest time at which the version known before was still
  /// the newest; absent if none was known.
  /// @param NamedAfter latest time at which \p Version was not yet named, as
  /// known to this process or a peer.
  /// @return the deadlines that are new or were extended, oldest version first.
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
