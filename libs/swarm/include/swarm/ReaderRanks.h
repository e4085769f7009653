#ifndef ROSEMARYLANE_SWARM_READER_RANKS_H
#define ROSEMARYLANE_SWARM_READER_RANKS_H

#include "core/Digest.h"
#include "swarm/Placement.h"

#include <array>
#include <cstdint>
#include <vector>

namespace rosemarylane::swarm {

/// Assigns readers for each chunk of a version, as seen by one host: the hosts
/// that fetch the chunk from the origin for the fleet, from the fleet's reader
/// for a region, and from the region's reader for a failure domain.
///
/// Each region has a few ingress hosts for each of its failure domains, chosen
/// by rendezvous hashing on the version. Only they read from the origin and
/// over links between regions, so that few hosts have to share the pacing of a
/// slow link. For each chunk, rendezvous hashing picks the fleet's reader among
/// all ingress hosts, the region's reader among the ingress hosts of the
/// region, and the domain's reader among the hosts of the failure domain. The
/// fleet's reader is also the reader of its own region, and a region's reader
/// that of its own domain.
///
/// All hosts that see the same members compute the same readers. Build a new
/// object whenever the members change. Immutable after construction, so that it
/// may be read from several threads.
class ReaderRanks {
public:
  static constexpr std::size_t IngressHostsPerDomain = 4;
  static constexpr std::uint32_t None = ~std::uint32_t(0);

  /// The readers of one chunk. Hosts are indexes into the list of members.
  struct Readers {
    /// The hosts of first and second rank; `None` if there are too few hosts.
    std::array<std::uint32_t, 2> Fleet{None, None};
    std::array<std::uint32_t, 2> Region{None, None};
    /// This host's rank in its failure domain; 0 for the domain's reader.
    std::uint32_t DomainRank = 0;
  };

  ReaderRanks() = default;
  /// @param Self the index of this host in \p Members.
  ReaderRanks(const core::Digest &Version,
              const std::vector<core::Digest> &Chunks,
              const std::vector<EngineHost> &Members, std::uint32_t Self);

  const Readers &readers(std::size_t Chunk) const { return ByChunk[Chunk]; }
  /// @return whether this host is an ingress host of its region.
  bool isIngressHost() const { return IsIngressHost; }
  /// @return the number of ingress hosts in the whole fleet.
  std::size_t ingressHostCount() const { return IngressHostCount; }
  /// @return the fraction of the version's chunks that this host reads for its
  /// region. Never 0 for an ingress host, which may have to replace another
  /// reader.
  double regionShare() const { return RegionShare; }

private:
  std::vector<Readers> ByChunk;
  std::size_t IngressHostCount = 0;
  double RegionShare = 0;
  bool IsIngressHost = false;
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_READER_RANKS_H
