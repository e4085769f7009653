#ifndef ROSEMARYLANE_SWARM_PLANNER_STATE_H
#define ROSEMARYLANE_SWARM_PLANNER_STATE_H

#include "core/Time.h"
#include "swarm/ChunkSet.h"
#include "swarm/ReaderRanks.h"
#include "swarm/SwarmPlanner.h"

#include <cstdint>

namespace rosemarylane::swarm {

/// Settle times after which the origin is read although members still change.
inline constexpr int MaxSettlePeriods = 3;
/// Of the version's chunks, the part that may be asked for twice at the end.
inline constexpr std::size_t DuplicateDivisor = 100;

/// A peer of the view, with what it holds.
struct ViewPeer {
  core::HostId Host;
  ChunkSet Held;
  bool HoldingsKnown = false;
  core::TimePoint AvoidUntil{};
  std::size_t Fetches = 0;
};

/// What is known of the fetch of one chunk.
struct ChunkState {
  core::TimePoint RetryAt{};
  /// Sources that failed so far; picks the next one in rank.
  std::size_t FailedAttempts = 0;
  std::size_t Fetches = 0;
  /// Peers rely on this host as the region's or the fleet's reader.
  bool NeededByRegion = false;
  bool NeededByFleet = false;
};

/// A fetch in progress.
struct PendingFetch {
  ChunkFetch Fetch;
  core::TimePoint SentAt;
  core::TimePoint Deadline;
  /// The region's reader has said that it will send the chunk.
  bool Queued = false;
};

/// Where a reader may get a chunk from.
struct SourceChoice {
  ChunkFetch::Source From;
  std::uint32_t Host = ReaderRanks::None;
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_PLANNER_STATE_H
