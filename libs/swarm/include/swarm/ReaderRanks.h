#ifndef ROSEMARYLANE_SWARM_READER_RANKS_H
#define ROSEMARYLANE_SWARM_READER_RANKS_H

#include "core/Digest.h"
#include "swarm/Placement.h"

#include <array>
#include <cstdint>
#include <vector>

namespace rosemarylane::swarm {

/// Assigns readers for each chunk of a version, as seen by one host. The fleet,
/// here the hosts that replicate the version, has one reader, which fetches the
/// chunk from the origin. Each region has one, which fetches it from the
/// fleet's reader. Each failure domain has one, which fetches it from its
/// region's reader.
///
/// Each region has a number of ingress hosts: `IngressHostsPerDomain` times the
/// number of its failure domains, chosen from the whole region by rendezvous
/// hashing on the version. They need not be spread evenly over the domains.
/// Only ingress hosts read from the origin and over links between regions, so
/// that few hosts have to share the pacing of a slow link. For each chunk,
/// rendezvous hashing picks the fleet's reader among all ingress hosts, the
/// region's reader among the ingress hosts of the region, and the domain's
/// reader among the hosts of the failure domain. The fleet's reader is also the
/// reader of its own region, and a region's reader that of its own domain.
///
/// All hosts that see the same members compute the same readers. Build a new
/// object whenever the members change. Immutable after construction, so that it
/// may be read from several threads.
class ReaderRanks {
public:
  /// Number of ingress hosts of a region for each failure domain in it; how
  /// many of them lie in one domain is not fixed.
  static constexpr std::size_t IngressHostsPerDomain = 4;
  /// Index that stands for no host.
  static constexpr std::uint32_t None = ~std::uint32_t(0);

  /// The readers of one chunk, and this host's rank for it. Hosts are indexes
  /// into the list of members.
  struct ChunkReaders {
    /// The reader and the host that replaces it if it fails, for the fleet and
    /// for this host's region; `None` if there are too few hosts.
    std::array<std::uint32_t, 2> Fleet{None, None};
    std::array<std::uint32_t, 2> Region{None, None};
    /// This host's rank among the hosts of its failure domain; 0 if it is the
    /// domain's reader.
    std::uint32_t OwnDomainRank = 0;
  };

  ReaderRanks() = default;
  /// @param Self the index of this host in \p Members.
  ReaderRanks(const core::Digest &Version,
              const std::vector<core::Digest> &Chunks,
              const std::vector<EngineHost> &Members, std::uint32_t Self);

  const ChunkReaders &readers(std::size_t Chunk) const {
    return ByChunk[Chunk];
  }
  /// @return whether this host is an ingress host of its region.
  bool isIngressHost() const { return IsIngressHost; }
  /// @return the number of ingress hosts in all regions together.
  std::size_t ingressHostCount() const { return IngressHostCount; }
  /// @return the share of its region's inbound traffic that this host may use:
  /// the fraction of the version's chunks whose reader it is in its region, or
  /// a minimum if that is larger. The minimum is above 0 for an ingress host,
  /// since it may have to replace another reader. 0 for other hosts.
  double regionShare() const { return RegionShare; }

private:
  std::vector<ChunkReaders> ByChunk;
  std::size_t IngressHostCount = 0;
  double RegionShare = 0;
  bool IsIngressHost = false;
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_READER_RANKS_H
