#ifndef ROSEMARYLANE_SWARM_PEER_VIEW_H
#define ROSEMARYLANE_SWARM_PEER_VIEW_H

#include "core/Ids.h"
#include "core/Time.h"
#include "swarm/ChunkSet.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace rosemarylane::swarm {

/// A peer in the view and its holdings.
struct ViewPeer {
  core::HostId Host;
  ChunkSet Held;
  /// Whether the peer has reported its holdings at least once.
  bool HoldingsKnown = false;
  /// No chunk is pulled from the peer before this time.
  core::TimePoint AvoidUntil{};
  /// Number of pulls from the peer that are in progress.
  std::size_t ActiveFetches = 0;

  /// @return whether a chunk may be requested from the peer now.
  bool idle(core::TimePoint Now) const {
    return ActiveFetches == 0 && AvoidUntil <= Now;
  }
};

/// The peers of the own failure domain, or those of other regions, whose
/// holdings a planner tracks, and for each chunk how many of them hold it.
///
/// Usage: call `update` whenever the peers change, `recordHoldings` with each
/// report of a peer, and `removeHolding` when a peer turns out not to hold a
/// chunk. Change `ViewPeer::Held` only through these. Lives as long as its
/// planner. Not thread-safe.
class PeerView {
public:
  /// @param Chunks the number of chunks of the version.
  explicit PeerView(std::size_t Chunks) : HolderCounts(Chunks) {}

  /// Replaces the peers. Those that stay keep their state; pointers returned by
  /// `find` become invalid.
  void update(std::vector<core::HostId> Hosts);

  /// Replaces the holdings of \p Peer.
  /// @param Chunks has the size of the version.
  /// @return the chunks that the peer did not hold before.
  ChunkSet recordHoldings(ViewPeer &Peer, ChunkSet Chunks);
  void removeHolding(ViewPeer &Peer, std::size_t Chunk);

  /// @return the peer; null if it is not in the view.
  ViewPeer *find(const core::HostId &Host);
  const std::vector<core::HostId> &hosts() const { return Hosts; }

  /// @return the number of peers that hold \p Chunk.
  std::uint32_t holderCount(std::size_t Chunk) const {
    return HolderCounts[Chunk];
  }
  /// @return the chunks that idle peers hold.
  ChunkSet offered(core::TimePoint Now) const;
  /// @return an idle peer that holds \p Chunk, chosen uniformly at random; null
  /// if there is none.
  const ViewPeer *pickHolder(std::size_t Chunk, core::TimePoint Now,
                             std::mt19937_64 &Random) const;
  /// @return whether every peer has reported its holdings.
  bool allHoldingsKnown() const;

private:
  std::vector<ViewPeer> Peers;
  /// The hosts of `Peers`, in the same order.
  std::vector<core::HostId> Hosts;
  std::vector<std::uint32_t> HolderCounts;
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_PEER_VIEW_H
