#ifndef ROSEMARYLANE_SWARM_PLANNER_STATE_H
#define ROSEMARYLANE_SWARM_PLANNER_STATE_H

#include "core/Time.h"
#include "swarm/ChunkSet.h"
#include "swarm/ReaderRanks.h"
#include "swarm/SwarmPlanner.h"

#include <cstdint>

namespace rosemarylane::swarm {

/// Number of settle times after which the origin is read even if the members
/// still change.
inline constexpr int MaxSettlePeriods = 3;
/// One in this many of the version's chunks may be requested a second time
/// while the first request is still in progress.
inline constexpr std::size_t DuplicateDivisor = 100;

/// A peer in the view and its holdings.
struct ViewPeer {
  core::HostId Host;
  ChunkSet Held;
  bool HoldingsKnown = false;
  core::TimePoint AvoidUntil{};
  std::size_t Fetches = 0;
};

/// Fetch state of one chunk.
struct ChunkState {
  core::TimePoint RetryAt{};
  /// Number of failed attempts; selects the next source in rank.
  std::size_t FailedAttempts = 0;
  std::size_t Fetches = 0;
  /// Whether peers requested the chunk from this host as the region's or the
  /// fleet's reader.
  bool NeededByRegion = false;
  bool NeededByFleet = false;
};

/// A fetch in progress.
struct PendingFetch {
  ChunkFetch Fetch;
  core::TimePoint SentAt;
  core::TimePoint Deadline;
  /// Whether the reader replied that it will send the chunk later.
  bool Queued = false;
};

/// A source from which a reader can fetch a chunk.
struct SourceChoice {
  ChunkFetch::Source From;
  std::uint32_t Host = ReaderRanks::None;
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_PLANNER_STATE_H
