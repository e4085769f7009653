#ifndef ROSEMARYLANE_SERVING_ERA_SIGHTINGS_H
#define ROSEMARYLANE_SERVING_ERA_SIGHTINGS_H

#include "core/BootClock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace rosemarylane::serving {

/// When the first answer of each era of the store arrived at anybody, as far as
/// this process knows.
///
/// A restored store lacks what was written last, until it has been written
/// again: so what a read of a new era says of missing items depends on how long
/// that era has been there. Processes tell each other the age of their
/// sighting; it is never overstated, so no sighting is taken to be earlier than
/// it was. Value type without a clock of its own; not thread-safe.
class EraSightings {
public:
  /// Time from the first sighting of an era within which operators and targets
  /// write again what the restored store lacks.
  static constexpr std::chrono::milliseconds RewriteTime{2200};
  /// Only the latest eras are remembered.
  static constexpr std::size_t MaxEras = 4;

  /// Records that an answer of \p Era had arrived at somebody by \p SeenAt. The
  /// earliest time counts.
  /// @param InUse the era of the section, which is never forgotten; 0 if none.
  void record(std::uint64_t Era, core::BootTime SeenAt, std::uint64_t InUse);

  std::optional<core::BootTime> firstSeen(std::uint64_t Era) const;

  /// @return the age to tell to peers, rounded down; absent if \p Era was not
  /// seen.
  std::optional<std::chrono::milliseconds> age(std::uint64_t Era,
                                               core::BootTime Now) const;

  /// @return whether a read that was sent at \p SentAt and answered in \p Era
  /// shows all that was written before the restore. Always true of era 0: such
  /// a store does not tell whether it was restored.
  bool isRewritten(std::uint64_t Era, core::BootTime SentAt) const;

private:
  std::map<std::uint64_t, core::BootTime> FirstSeen;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_ERA_SIGHTINGS_H
