#ifndef ROSEMARYLANE_SWARM_SWARM_PLANNER_H
#define ROSEMARYLANE_SWARM_SWARM_PLANNER_H

#include "core/Digest.h"
#include "core/Time.h"
#include "swarm/ChunkSet.h"
#include "swarm/Placement.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace rosemarylane::swarm {

/// Limits and timeouts of one host's share of a version.
struct PlannerSettings {
  /// Peers of the own failure domain whose holdings are followed.
  std::size_t ViewSize = 20;
  /// Requests in progress to peers of the own failure domain.
  std::size_t PullsAtOnce = 4;
  /// Requests in progress to the origin and to other regions.
  std::size_t RemoteReadsAtOnce = 4;
  /// A request without an answer for this long is given up.
  std::chrono::nanoseconds RequestTimeout = std::chrono::seconds(3);
  /// The same for the origin, and for a reader in another region that has said
  /// that the chunk follows: many hosts' chunks queue there.
  std::chrono::nanoseconds RemoteTimeout = std::chrono::seconds(30);
  /// Without a new chunk for this long, the next in rank steps in.
  std::chrono::nanoseconds StallTimeout = std::chrono::seconds(5);
  /// A peer that was busy is not asked again for this long.
  std::chrono::nanoseconds BusyDelay = std::chrono::milliseconds(50);
  /// A chunk that a reader did not hold yet is asked for again after this long.
  std::chrono::nanoseconds PollDelay = std::chrono::milliseconds(100);
  /// Peers are heard for this long before the origin is read.
  std::chrono::nanoseconds DiscoveryTime = std::chrono::milliseconds(300);
  /// While fewer members are seen than there are replicas, the origin is read
  /// once they have not changed for this long, as a fleet that has just started
  /// is seen bit by bit.
  std::chrono::nanoseconds SettleTime = std::chrono::seconds(1);
  /// The time that one copy takes over a host's link; paces the origin reads of
  /// a host that sees only part of the fleet.
  std::chrono::nanoseconds CopyTime = std::chrono::seconds(60);
};

/// A chunk to ask for.
struct ChunkFetch {
  enum class Source {
    Origin,
    /// A host of the own failure domain that holds the chunk.
    DomainPeer,
    /// The reader of the own region: answers once it holds the chunk.
    RegionReader,
    /// The fleet's reader, in another region.
    FleetReader,
  };

  std::uint64_t Id = 0;
  std::size_t Chunk = 0;
  Source From = Source::Origin;
  /// Empty for the origin.
  core::HostId Host;
};

/// How a fetch went.
enum class FetchOutcome {
  /// The chunk came, was checked, and is stored.
  Stored,
  /// The peer serves others now; a reader that answers so cannot read.
  Busy,
  NotHeld,
  /// The region's reader will send the chunk later.
  Queued,
  /// The connection failed, or the bytes had another digest.
  Failed,
};

/// Decides which chunks of one version this host asks for, and whom.
///
/// Inside a failure domain the rarest chunk of a bounded view is pulled from an
/// idle peer; nobody waits for a busy one. Chunks enter a domain, a region and
/// the fleet through the readers that `ReaderRanks` names. A pure state
/// machine: time comes in with every call, randomness with the seed. Not
/// thread-safe.
///
/// Usage: `setMembers`, exchange holdings with `view()`, then call `plan` after
/// every event and a few times a second; report each fetch by `reportOutcome`.
class SwarmPlanner {
public:
  /// @param Chunks the distinct chunks of the version.
  /// @param Held what the engine holds already.
  static std::unique_ptr<SwarmPlanner>
  create(core::HostId Self, core::Digest Version,
         std::vector<core::Digest> Chunks, ChunkSet Held,
         PlannerSettings Settings, std::uint64_t Seed);
  virtual ~SwarmPlanner() = default;

  /// Replaces the hosts that share the version, the own one included.
  /// @param Replicas the replicas that the catalogue asks for: how many hosts
  /// the fleet really has, even if fewer are seen.
  virtual void setMembers(std::vector<EngineHost> Members,
                          std::uint32_t Replicas, core::TimePoint Now) = 0;

  /// @return the peers whose holdings are to be followed.
  virtual const std::vector<core::HostId> &view() const = 0;

  /// A peer told what it holds.
  virtual void peerHolds(const core::HostId &Peer, ChunkSet Chunks,
                         core::TimePoint Now) = 0;

  /// A peer asked this host for a chunk \p As a region's or the fleet's reader.
  virtual void demanded(std::size_t Chunk, ChunkFetch::Source As) = 0;

  /// @param RemoteReads new requests to the origin and to other regions that
  /// pacing allows now.
  /// @return the requests to send now.
  virtual std::vector<ChunkFetch> plan(core::TimePoint Now,
                                       std::size_t RemoteReads) = 0;

  /// @return the part of the version that this host reads from the origin and
  /// other regions for its own region; 0 before the members are known.
  virtual double regionShare() const = 0;

  /// @return whether as many pulls are in progress as are allowed, so that the
  /// downlink is this version's limit.
  virtual bool saturated() const = 0;

  /// A fetch ended. `Queued` does not end it.
  /// @return false if the fetch was given up before; for `Stored`, also if the
  /// chunk had come another way.
  virtual bool reportOutcome(std::uint64_t Id, FetchOutcome Outcome,
                             core::TimePoint Now) = 0;

  /// A chunk came after its fetch had been given up.
  virtual void markStored(std::size_t Chunk, core::TimePoint Now) = 0;

  /// The origin cannot be reached, as this host or a reader has found. That no
  /// chunk comes is then no reason to step in for the readers.
  virtual void originAway(core::TimePoint Now) { (void)Now; }

  /// The engine no longer holds a chunk.
  virtual void markLost(std::size_t Chunk) = 0;

  virtual const ChunkSet &held() const = 0;
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_SWARM_PLANNER_H
