#ifndef ROSEMARYLANE_SWARM_FETCHES_IN_PROGRESS_H
#define ROSEMARYLANE_SWARM_FETCHES_IN_PROGRESS_H

#include "core/Time.h"
#include "swarm/ChunkSet.h"
#include "swarm/SwarmPlanner.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace rosemarylane::swarm {

/// @return whether a fetch goes to the origin or to another region.
bool isRemote(ChunkFetch::Source From);

/// The fetches of one version that a planner has begun and that have not ended,
/// with what is counted of them.
///
/// Usage: call `begin` for each fetch and `end` once it has an outcome, has
/// expired or is cancelled. Lives as long as its planner. Not thread-safe.
class FetchesInProgress {
public:
  struct Item {
    ChunkFetch Fetch;
    core::TimePoint SentAt;
    core::TimePoint Deadline;
    /// Whether the reader replied that it will send the chunk later.
    bool Queued = false;
  };

  /// @param Chunks the number of chunks of the version.
  explicit FetchesInProgress(std::size_t Chunks)
      : Pending(Chunks), ByChunk(Chunks) {}

  /// Begins a fetch and gives it an id.
  /// @param Host empty for the origin.
  ChunkFetch begin(std::size_t Chunk, ChunkFetch::Source From,
                   core::HostId Host, core::TimePoint Now,
                   std::chrono::nanoseconds Timeout);

  /// @return the fetch; null if it is not in progress.
  Item *find(std::uint64_t Id);

  /// Ends a fetch that is in progress.
  void end(std::uint64_t Id);

  /// @return those for which \p Holds is true, by their ids.
  std::vector<Item>
  matching(const std::function<bool(const Item &)> &Holds) const;

  /// @return the chunk of the first fetch for which \p Holds is true.
  std::optional<std::size_t>
  firstChunk(const std::function<bool(const Item &)> &Holds) const;

  /// @return the chunks with a fetch in progress.
  const ChunkSet &chunks() const { return Pending; }
  /// @return the number of fetches of \p Chunk.
  std::size_t countOf(std::size_t Chunk) const { return ByChunk[Chunk]; }
  /// @return the number of fetches from peers of the failure domain.
  std::size_t pulls() const { return Pulls; }
  std::size_t remoteReads() const { return RemoteReads; }
  std::size_t originReads() const { return OriginReads; }

private:
  std::map<std::uint64_t, Item> Items;
  std::uint64_t NextId = 1;
  ChunkSet Pending;
  std::vector<std::size_t> ByChunk;
  std::size_t Pulls = 0;
  std::size_t RemoteReads = 0;
  std::size_t OriginReads = 0;
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_FETCHES_IN_PROGRESS_H
