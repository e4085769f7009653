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

/// Limits and timeouts for fetching one version on one host.
struct PlannerSettings {
  /// Maximum number of peers in the own failure domain whose holdings are
  /// tracked.
  std::size_t ViewSize = 20;
  /// Maximum number of concurrent requests to peers in the own failure domain.
  std::size_t PullsAtOnce = 4;
  /// Maximum number of concurrent requests to the origin and to other regions.
  std::size_t RemoteReadsAtOnce = 4;
  /// Timeout of a request, except to the origin.
  std::chrono::nanoseconds RequestTimeout = std::chrono::seconds(3);
  /// Timeout of a request to the origin, and of one that a reader in another
  /// region has queued. Longer, since chunks for many hosts queue there.
  std::chrono::nanoseconds RemoteTimeout = std::chrono::seconds(30);
  /// If no new chunk has been seen for this long, the host of next rank takes
  /// over from a reader.
  std::chrono::nanoseconds StallTimeout = std::chrono::seconds(5);
  /// A busy peer is not asked again for this long.
  std::chrono::nanoseconds BusyDelay = std::chrono::milliseconds(50);
  /// Delay before a chunk that a reader did not hold is requested again.
  std::chrono::nanoseconds PollDelay = std::chrono::milliseconds(100);
  /// Time to wait for the holdings of peers before reading from the origin.
  std::chrono::nanoseconds DiscoveryTime = std::chrono::milliseconds(300);
  /// While fewer members are visible than there are replicas, the origin is
  /// read only once the members have not changed for this long, because the
  /// members of a fleet that has just started become visible one after another.
  std::chrono::nanoseconds SettleTime = std::chrono::seconds(1);
  /// Transfer time of one copy over a host's link. Paces the origin reads of a
  /// host that sees only part of the fleet.
  std::chrono::nanoseconds CopyTime = std::chrono::seconds(60);
};

/// A request for a chunk.
struct ChunkFetch {
  enum class Source {
    Origin,
    /// A host in the own failure domain that holds the chunk.
    DomainPeer,
    /// The own region's reader, which replies once it holds the chunk.
    RegionReader,
    /// The fleet's reader in another region.
    FleetReader,
  };

  std::uint64_t Id = 0;
  std::size_t Chunk = 0;
  Source From = Source::Origin;
  /// The host to ask; empty for the origin.
  core::HostId Host;
};

/// The outcome of a fetch.
enum class FetchOutcome {
  /// The chunk was received, verified and stored.
  Stored,
  /// The peer is serving others. A reader that replies so cannot read the
  /// chunk.
  Busy,
  /// The peer does not hold the chunk.
  NotHeld,
  /// The reader has queued the request and will send the chunk later.
  Queued,
  /// The connection failed, or the received bytes had the wrong digest.
  Failed,
};

/// Decides which chunks of one version this host requests, and from which
/// hosts.
///
/// Within a failure domain, hosts pull the chunk that is rarest among a bounded
/// view of peers, from a peer that is idle; they never wait for a busy one.
/// Chunks enter a failure domain, a region and the fleet through the readers
/// that `ReaderRanks` assigns.
///
/// Usage: call `setMembers`, exchange holdings with the hosts of `view`, then
/// call `plan` after every event and a few times a second. Send the requests
/// that it returns and report each of them by `reportOutcome`.
///
/// One planner lives as long as the host fetches or shares the version. A state
/// machine without I/O: time is passed in with every call, and all randomness
/// derives from the seed. Not thread-safe.
class SwarmPlanner {
public:
  /// @param Chunks the distinct chunks of the version.
  /// @param Held the chunks that the engine holds already.
  static std::unique_ptr<SwarmPlanner>
  create(core::HostId Self, core::Digest Version,
         std::vector<core::Digest> Chunks, ChunkSet Held,
         PlannerSettings Settings, std::uint64_t Seed);
  virtual ~SwarmPlanner() = default;

  /// Replaces the hosts that share the version.
  /// @param Members the visible hosts, this one included.
  /// @param Replicas the number of replicas in the catalogue, and so the size
  /// of the whole fleet even if fewer hosts are visible.
  virtual void setMembers(std::vector<EngineHost> Members,
                          std::uint32_t Replicas, core::TimePoint Now) = 0;

  /// @return the peers whose holdings have to be reported by `peerHolds`.
  virtual const std::vector<core::HostId> &view() const = 0;

  /// Records the chunks that \p Peer holds now.
  virtual void peerHolds(const core::HostId &Peer, ChunkSet Chunks,
                         core::TimePoint Now) = 0;

  /// Records that a peer requested a chunk that this host does not hold yet.
  /// @param As the role in which this host was asked: `RegionReader` or
  /// `FleetReader`.
  virtual void demanded(std::size_t Chunk, ChunkFetch::Source As) = 0;

  /// Times out old requests and selects new ones.
  /// @param RemoteReads the number of new requests to the origin and to other
  /// regions that pacing allows now.
  /// @return the requests to send now.
  virtual std::vector<ChunkFetch> plan(core::TimePoint Now,
                                       std::size_t RemoteReads) = 0;

  /// @return the fraction of the version that this host reads from the origin
  /// and other regions for its own region; 0 before the members are known.
  virtual double regionShare() const = 0;

  /// @return whether the maximum number of pulls is in progress, which means
  /// that this version is limited by the downlink.
  virtual bool saturated() const = 0;

  /// Records the outcome of a fetch. `Queued` prolongs the fetch, all other
  /// outcomes end it.
  /// @return false if the fetch had timed out or been cancelled before; for
  /// `Stored`, also if the chunk was already held.
  virtual bool reportOutcome(std::uint64_t Id, FetchOutcome Outcome,
                             core::TimePoint Now) = 0;

  /// Records that this host holds a chunk that was stored by other means than a
  /// fetch in progress, such as a reply after the timeout.
  virtual void markStored(std::size_t Chunk, core::TimePoint Now) = 0;

  /// Records that this host or a reader cannot reach the origin. While no chunk
  /// arrives for that reason, hosts must not take over from the readers.
  virtual void originAway(core::TimePoint Now) { (void)Now; }

  /// Records that the engine no longer holds a chunk.
  virtual void markLost(std::size_t Chunk) = 0;

  /// @return the chunks that this host holds.
  virtual const ChunkSet &held() const = 0;
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_SWARM_PLANNER_H
