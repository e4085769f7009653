#ifndef ROSEMARYLANE_SWARM_PLANNER_STATE_H
#define ROSEMARYLANE_SWARM_PLANNER_STATE_H

#include "core/Time.h"
#include "swarm/ReaderRanks.h"
#include "swarm/SwarmPlanner.h"

#include <cstdint>

namespace rosemarylane::swarm {

/// Number of settle times after which the origin is read even if the members
/// still change.
inline constexpr int MaxSettlePeriods = 3;
/// Limits second requests for chunks whose first request is still in progress.
/// During its lifetime, a planner sends at most one of them per this many
/// chunks of the version, but may always send one.
inline constexpr std::size_t ChunksPerDuplicateRequest = 100;
/// The origin is read for a superseded version only while at least this
/// fraction of its chunks is held by this host or the hosts that it tracks.
inline constexpr double MinSeenFractionIfSuperseded = 0.9;

/// Fetch state of one chunk.
struct ChunkState {
  /// The chunk is not read before this time. Does not delay pulls.
  core::TimePoint RetryAt{};
  /// When a host of another region was first known to hold the chunk.
  core::TimePoint HeldRemotelySince{};
  /// Whether a reader or the origin, asked for the chunk, did not have it.
  bool SourceLacked = false;
  /// Number of failed reads; selects the next source in rank.
  std::size_t FailedAttempts = 0;
  /// Whether a peer addressed this host as its region's reader and requested
  /// the chunk.
  bool NeededByRegion = false;
  /// Whether a peer addressed this host as the fleet's reader and requested the
  /// chunk.
  bool NeededByFleet = false;
};

/// A source from which a chunk can be read.
struct SourceChoice {
  ChunkFetch::Source From;
  /// Index into the list of members; `None` for the origin.
  std::uint32_t Host = ReaderRanks::None;
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_PLANNER_STATE_H
