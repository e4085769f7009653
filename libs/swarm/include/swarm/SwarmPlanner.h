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
///
/// A fetch is a request for one chunk. It is called a pull if it goes to a peer
/// in the own failure domain that holds the chunk, a read if it goes to a
/// reader or to the origin, and a remote read if it goes to the origin or to
/// another region.
struct PlannerSettings {
  /// Maximum number of peers in the own failure domain whose holdings are
  /// tracked.
  std::size_t ViewSize = 20;
  /// Maximum number of hosts in other regions whose holdings are tracked; they
  /// are spread over the regions.
  std::size_t RemoteViewSize = 4;
  /// Maximum number of pulls in progress.
  std::size_t MaxPulls = 4;
  /// Maximum number of remote reads in progress.
  std::size_t MaxRemoteReads = 4;
  /// Maximum number of reads from the origin in progress, which are remote
  /// reads too. Reads beyond what the origin sends within their timeout would
  /// be made twice.
  std::size_t MaxOriginReads = 4;
  /// Timeout of a request to another host, until that host replies `Queued`.
  std::chrono::nanoseconds RequestTimeout = std::chrono::seconds(3);
  /// Timeout of a request to the origin, and of one that the fleet's reader has
  /// queued. Longer, since chunks for many hosts queue there.
  std::chrono::nanoseconds RemoteTimeout = std::chrono::seconds(30);
  /// If for this long neither this host nor a peer in its view has obtained a
  /// chunk that none of them held before, the host of next rank takes over from
  /// a reader; the host of rank n does so after n times this long. Also the
  /// timeout of a request that the region's reader has queued.
  std::chrono::nanoseconds StallTimeout = std::chrono::seconds(5);
  /// Time for which no pull is sent to a peer that replied `Busy`.
  std::chrono::nanoseconds BusyDelay = std::chrono::milliseconds(50);
  /// Delay before a chunk is read again after a read that ended as `Busy`,
  /// `NotHeld` or `Failed`.
  std::chrono::nanoseconds PollDelay = std::chrono::milliseconds(100);
  /// Time to wait for the holdings of peers before reading from the origin.
  std::chrono::nanoseconds DiscoveryTime = std::chrono::milliseconds(300);
  /// While fewer members are visible than there are replicas, the origin is
  /// read only once the members have not changed for this long, because the
  /// members of a fleet that has just started become visible one after another.
  std::chrono::nanoseconds SettleTime = std::chrono::seconds(1);
  /// Transfer time of one copy, that is all chunks of the version, over a
  /// host's link. Callers compute it from the version's size and the link's
  /// rate. Paces the origin reads of hosts that see only part of the fleet or
  /// that read in place of the fleet's reader.
  std::chrono::nanoseconds CopyTime = std::chrono::seconds(60);

  /// @return settings for versions of which one copy takes a few seconds.
  static PlannerSettings forShortCopies(std::chrono::nanoseconds CopyTime);
};

/// A request for a chunk, and the source that it goes to.
struct ChunkFetch {
  enum class Source {
    Origin,
    /// A host in the own failure domain that holds the chunk.
    DomainPeer,
    /// The own region's reader, which replies once it holds the chunk.
    RegionReader,
    /// The fleet's reader in another region.
    FleetReader,
    /// A host in another region that holds the chunk.
    RemoteHolder,
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
  /// The source does not accept the request now, for example because too many
  /// requests are queued. A reader also replies so if it has no room for a
  /// chunk that it would have to read first. After a pull, other peers are
  /// asked; after a read, the next source in rank.
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
/// The fleet of a version is the hosts that replicate it, not all hosts. A host
/// holds a chunk if its engine does. A copy is all chunks of the version.
///
/// Within a failure domain, hosts pull the chunk that is rarest among a bounded
/// view of peers, from a peer that is idle; they never wait for a busy one.
/// Chunks enter a failure domain, a region and the fleet through the readers
/// that `ReaderRanks` assigns. A chunk that a tracked host of another region
/// holds is read from there, so that none depends on its readers alone.
///
/// Usage: call `setMembers`, exchange holdings with the hosts of `view` and,
/// less often, with those of `remoteView`, then call `plan` after every event
/// and a few times a second. Send the requests that it returns and report each
/// of them by `reportOutcome`.
///
/// One planner lives as long as the host fetches or uploads the version. A
/// state machine without I/O: time is passed in with every call, and all
/// randomness derives from the seed. Not thread-safe.
class SwarmPlanner {
public:
  /// @param Chunks the distinct chunks of the version.
  /// @param Held the chunks that this host holds already.
  static std::unique_ptr<SwarmPlanner>
  create(core::HostId Self, core::Digest Version,
         std::vector<core::Digest> Chunks, ChunkSet Held,
         PlannerSettings Settings, std::uint64_t Seed);
  virtual ~SwarmPlanner() = default;

  /// Replaces the members: the hosts that exchange chunks of the version.
  /// @param Members the hosts of the version's fleet that are visible now, this
  /// one included.
  /// @param Replicas the size of the version's fleet, which is the number of
  /// replicas in the catalogue. More than \p Members if some are not visible.
  virtual void setMembers(std::vector<EngineHost> Members,
                          std::uint32_t Replicas, core::TimePoint Now) = 0;

  /// @return the peers in the own failure domain whose holdings have to be
  /// reported by `peerHolds`.
  virtual const std::vector<core::HostId> &view() const = 0;

  /// @return the hosts in other regions whose holdings have to be reported by
  /// `peerHolds`. Their number does not grow with the fleet.
  virtual const std::vector<core::HostId> &remoteView() const = 0;

  /// Records the chunks that \p Peer holds now.
  virtual void peerHolds(const core::HostId &Peer, ChunkSet Chunks,
                         core::TimePoint Now) = 0;

  /// Records that a peer requested a chunk that this host does not hold yet, so
  /// that this host reads it.
  /// @param As the role in which the peer addressed this host: `RegionReader`
  /// or `FleetReader`.
  virtual void markDemanded(std::size_t Chunk, ChunkFetch::Source As) = 0;

  /// Times out old requests and selects new ones.
  /// @param RemoteReads the number of new remote reads that pacing allows now.
  /// @return the requests to send now.
  virtual std::vector<ChunkFetch> plan(core::TimePoint Now,
                                       std::size_t RemoteReads) = 0;

  /// @return the share of its region's inbound traffic that this host may use
  /// for remote reads, from 0 to 1; see `ReaderRanks::regionShare`. 0 before
  /// the members are known.
  virtual double regionShare() const = 0;

  /// @return whether the maximum number of pulls is in progress. Callers take
  /// this as a sign that the downlink limits this version, and then hold back
  /// versions that are ahead of it by their traffic class.
  virtual bool pullLimitReached() const = 0;

  /// Records the outcome of a fetch. `Queued` prolongs the fetch, all other
  /// outcomes end it.
  /// @return false if the fetch had timed out or been cancelled before; for
  /// `Stored`, also if the chunk was already held.
  virtual bool reportOutcome(std::uint64_t Id, FetchOutcome Outcome,
                             core::TimePoint Now) = 0;

  /// Records that this host holds a chunk that was stored by other means than a
  /// fetch in progress, such as a reply after the timeout.
  virtual void markStored(std::size_t Chunk, core::TimePoint Now) = 0;

  /// Records that this host or a reader could not reach the origin. Restarts
  /// the `StallTimeout`, since another host that took over from the reader
  /// would not have reached the origin either. Call it again while the origin
  /// stays unreachable.
  /// @param At when that host failed to reach it.
  virtual void markOriginUnreachable(core::TimePoint At) { (void)At; }

  /// Sets whether a newer version of the weights is to be served. The origin is
  /// then read only for the last few chunks that no tracked host holds.
  virtual void setSuperseded(bool Superseded) { (void)Superseded; }

  /// Records that this host no longer holds a chunk.
  virtual void markLost(std::size_t Chunk) = 0;

  /// @return the chunks that this host holds.
  virtual const ChunkSet &held() const = 0;
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_SWARM_PLANNER_H
