#ifndef ROSEMARYLANE_SWARM_PEER_VIEW_H
#define ROSEMARYLANE_SWARM_PEER_VIEW_H

#include "core/Ids.h"
#include "core/Time.h"
#include "swarm/ChunkSet.h"

#include <cstddef>
#include <cstdint>
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
};

/// The peers of the own failure domain whose holdings a planner tracks, and for
/// each chunk how many of them hold it.
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
  std::vector<ViewPeer> &peers() { return Peers; }
  const std::vector<core::HostId> &hosts() const { return Hosts; }

  /// @return the number of peers that hold \p Chunk.
  std::uint32_t holderCount(std::size_t Chunk) const {
    return HolderCounts[Chunk];
  }
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
