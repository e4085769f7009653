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

/// Derives the deadline at which each named version of a model takes effect
/// from what one process knows.
///
/// Operators name a version by writing it to the store, which holds only the
/// newest one. A process that starts or is partitioned while versions are named
/// in quick succession may have missed some, and has to assume that an older
/// one is already due. For a process that was partitioned, no deadline is
/// earlier than `ReconnectGrace` after it learnt of the version; for a process
/// that has just started, a deadline may already have passed. Value type
/// without a clock of its own; not thread-safe.
class VersionDeadlines {
public:
  struct Settings {
    /// Time from the naming of a version until it takes effect.
    std::chrono::milliseconds ActivationDelay{0};
    /// A process that learns of a version more than this long after it may have
    /// been named counts as partitioned in between. The deadline is then at
    /// least this long after the process learnt of the version.
    std::chrono::milliseconds ReconnectGrace{0};
  };

  struct VersionDeadline {
    std::uint64_t Version = 0;
    core::BootTime Deadline{};
  };

  explicit VersionDeadlines(Settings Delays) : Delays(Delays) {}

  /// Records that \p Version is the newest named version of \p Model.
  /// @param UnchangedAt time up to which this process is taken to have known
  /// every named version: when its previous data was last confirmed, or later
  /// after an outage of the store (`StoreOutage::countdownStart`). Absent if
  /// the process had no data, because it has just started. The deadline of a
  /// version that was missed is counted from here.
  /// @param NamedAfter latest time at which \p Version is known not to have
  /// been named yet: the `StoredItem::ChangedAfter` of its item, which may be
  /// later than \p UnchangedAt if a peer knows more. The deadline of
  /// \p Version is counted from here; if absent, the deadline is the time at
  /// which this process learnt of the version.
  /// @return the deadlines that are new or were extended, oldest version first.
  std::vector<VersionDeadline>
  recordVersion(const std::string &Model, std::uint64_t Version,
                std::optional<core::BootTime> UnchangedAt,
                std::optional<core::BootTime> NamedAfter, core::BootTime Now);

private:
  /// The newest known version of a model.
  struct Newest {
    std::uint64_t Version = 0;
    core::BootTime LearntAt{};
    /// The process had no data when it learnt of the version, because it had
    /// just started.
    bool JustStarted = false;
    core::BootTime Deadline{};
  };

  /// @return the deadline of a version that is taken to have been named at
  /// \p NamedAfter, the earliest time possible.
  /// @param Known the newest version: this one, or the one with which this
  /// process learnt that it had missed this one.
  core::BootTime deadline(std::optional<core::BootTime> NamedAfter,
                          const Newest &Known) const;

  Settings Delays;
  std::map<std::string, Newest> Models;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_VERSION_DEADLINES_H
