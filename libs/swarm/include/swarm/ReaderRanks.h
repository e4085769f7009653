#ifndef ROSEMARYLANE_SWARM_READER_RANKS_H
#define ROSEMARYLANE_SWARM_READER_RANKS_H

#include "core/Digest.h"
#include "swarm/Placement.h"

#include <array>
#include <cstdint>
#include <vector>

namespace rosemarylane::swarm {

/// Who brings each chunk of a version from the origin into the fleet, into a
/// region and into a failure domain, as one host sees it.
///
/// Each region has a few gateways for each of its failure domains, chosen by
/// rendezvous hashing on the version: only they read from the origin and over
/// links between regions, so that the pacing of a thin link is shared by few.
/// For each chunk, rendezvous hashing among all gateways picks the fleet's
/// reader, among the region's gateways the region's, and among a failure
/// domain's hosts the domain's. The fleet's reader is its own region's, and a
/// region's reader its own domain's.
class ReaderRanks {
public:
  static constexpr std::size_t IngressHostsPerDomain = 4;
  static constexpr std::uint32_t None = ~std::uint32_t(0);

  /// The readers of one chunk; hosts are indexes into the members.
  struct Readers {
    /// First and second in rank; `None` if there is none.
    std::array<std::uint32_t, 2> Fleet{None, None};
    std::array<std::uint32_t, 2> Region{None, None};
    /// The own host's position in its failure domain, 0 for the reader.
    std::uint32_t DomainRank = 0;
  };

  ReaderRanks() = default;
  /// @param Self the own host's index in \p Members.
  ReaderRanks(const core::Digest &Version,
              const std::vector<core::Digest> &Chunks,
              const std::vector<EngineHost> &Members, std::uint32_t Self);

  const Readers &readers(std::size_t Chunk) const { return ByChunk[Chunk]; }
  bool isIngressHost() const { return IsIngressHost; }
  /// @return the gateways of the whole fleet.
  std::size_t ingressHostCount() const { return IngressHostCount; }
  /// @return the part of the version's chunks that this host brings into its
  /// region; never 0 for a gateway, which may have to step in.
  double regionShare() const { return RegionShare; }

private:
  std::vector<Readers> ByChunk;
  std::size_t IngressHostCount = 0;
  double RegionShare = 0;
  bool IsIngressHost = false;
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_READER_RANKS_H
