#include "PeerView.h"

#include <algorithm>

namespace rosemarylane::swarm {

void PeerView::update(std::vector<core::HostId> NewHosts) {
  std::vector<ViewPeer> Next;
  for (const core::HostId &Host : NewHosts) {
    ViewPeer *Old = find(Host);
    Next.push_back(Old ? std::move(*Old)
                       : ViewPeer{Host, ChunkSet(HolderCounts.size())});
  }
  Peers = std::move(Next);
  Hosts = std::move(NewHosts);
  std::fill(HolderCounts.begin(), HolderCounts.end(), 0);
  for (const ViewPeer &Peer : Peers)
    Peer.Held.forEach([&](std::size_t C) { ++HolderCounts[C]; });
}

ChunkSet PeerView::recordHoldings(ViewPeer &Peer, ChunkSet Chunks) {
  Peer.HoldingsKnown = true;
  ChunkSet Gained = Chunks;
  Gained -= Peer.Held;
  ChunkSet Lost = std::move(Peer.Held);
  Lost -= Chunks;
  Gained.forEach([&](std::size_t C) { ++HolderCounts[C]; });
  Lost.forEach([&](std::size_t C) { --HolderCounts[C]; });
  Peer.Held = std::move(Chunks);
  return Gained;
}

void PeerView::removeHolding(ViewPeer &Peer, std::size_t Chunk) {
  if (!Peer.Held.contains(Chunk))
    return;
  Peer.Held.erase(Chunk);
  --HolderCounts[Chunk];
}

ViewPeer *PeerView::find(const core::HostId &Host) {
  auto Found = std::find_if(Peers.begin(), Peers.end(),
                            [&](const auto &P) { return P.Host == Host; });
  return Found == Peers.end() ? nullptr : &*Found;
}

ChunkSet PeerView::offered(core::TimePoint Now) const {
  ChunkSet Result(HolderCounts.size());
  for (const ViewPeer &Peer : Peers)
    if (Peer.idle(Now))
      Result |= Peer.Held;
  return Result;
}

const ViewPeer *PeerView::pickHolder(std::size_t Chunk, core::TimePoint Now,
                                     std::mt19937_64 &Random) const {
  const ViewPeer *Best = nullptr;
  std::size_t Ties = 0;
  for (const ViewPeer &Peer : Peers)
    if (Peer.idle(Now) && Peer.Held.contains(Chunk) && Random() % ++Ties == 0)
      Best = &Peer;
  return Best;
}

bool PeerView::allHoldingsKnown() const {
  return std::all_of(Peers.begin(), Peers.end(),
                     [](const ViewPeer &P) { return P.HoldingsKnown; });
}

} // namespace rosemarylane::swarm
