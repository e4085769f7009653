#include "swarm/ReaderRanks.h"

#include <algorithm>
#include <map>
#include <set>
#include <xxhash.h>

namespace rosemarylane::swarm {

namespace {

using Index = std::uint32_t;

/// Minimum of `regionShare` for an ingress host, as a fraction of the share
/// that each one would have if all ingress hosts of the fleet read equally many
/// chunks.
constexpr double MinIngressShareFactor = 0.25;

/// @return the rendezvous weight of a member for a key; the member of highest
/// weight is ranked first.
std::uint64_t weight(std::uint64_t KeyHash, std::uint64_t MemberHash) {
  std::array<std::uint64_t, 2> Pair{KeyHash, MemberHash};
  return XXH3_64bits(Pair.data(), sizeof(Pair));
}

/// @return the hash of each member's host id.
std::vector<std::uint64_t> hashes(const std::vector<EngineHost> &Members) {
  std::vector<std::uint64_t> Result;
  Result.reserve(Members.size());
  for (const EngineHost &Member : Members)
    Result.push_back(
        XXH3_64bits(Member.Host.str().data(), Member.Host.str().size()));
  return Result;
}

/// Selects the two candidates with the highest weights.
struct TopTwo {
  std::array<Index, 2> Best{ReaderRanks::None, ReaderRanks::None};
  std::array<std::uint64_t, 2> Weight{0, 0};

  void offer(Index Candidate, std::uint64_t W) {
    if (Best[0] == ReaderRanks::None || W > Weight[0]) {
      Best[1] = Best[0];
      Weight[1] = Weight[0];
      Best[0] = Candidate;
      Weight[0] = W;
    } else if (Best[1] == ReaderRanks::None || W > Weight[1]) {
      Best[1] = Candidate;
      Weight[1] = W;
    }
  }
};

/// Selects the hosts of each region that read from the origin and from other
/// regions.
std::vector<Index>
chooseIngressHosts(std::uint64_t VersionHash,
                   const std::vector<EngineHost> &Members,
                   const std::vector<std::uint64_t> &Hashes) {
  std::map<core::RegionId, std::vector<Index>> ByRegion;
  for (Index I = 0; I < Members.size(); ++I)
    ByRegion[Members[I].Region].push_back(I);
  std::vector<Index> Result;
  for (auto &[Region, Hosts] : ByRegion) {
    std::sort(Hosts.begin(), Hosts.end(), [&](Index A, Index B) {
      return weight(VersionHash, Hashes[A]) > weight(VersionHash, Hashes[B]);
    });
    std::set<core::FailureDomainId> Domains;
    for (Index Host : Hosts)
      Domains.insert(Members[Host].FailureDomain);
    Hosts.resize(std::min(Hosts.size(),
                          Domains.size() * ReaderRanks::IngressHostsPerDomain));
    Result.insert(Result.end(), Hosts.begin(), Hosts.end());
  }
  return Result;
}

} // namespace

ReaderRanks::ReaderRanks(const core::Digest &Version,
                         const std::vector<core::Digest> &Chunks,
                         const std::vector<EngineHost> &Members, Index Self) {
  std::vector<std::uint64_t> Hashes = hashes(Members);
  std::vector<Index> IngressHosts =
      chooseIngressHosts(std::hash<core::Digest>()(Version), Members, Hashes);
  IngressHostCount = IngressHosts.size();
  IsIngressHost = std::find(IngressHosts.begin(), IngressHosts.end(), Self) !=
                  IngressHosts.end();
  std::vector<Index> DomainPeers;
  for (Index I = 0; I < Members.size(); ++I)
    if (Members[I].FailureDomain == Members[Self].FailureDomain && I != Self)
      DomainPeers.push_back(I);

  std::size_t ReadCount = 0;
  ByChunk.reserve(Chunks.size());
  for (const core::Digest &Chunk : Chunks) {
    std::uint64_t Key = std::hash<core::Digest>()(Chunk);
    TopTwo Fleet;
    TopTwo Region;
    for (Index H : IngressHosts) {
      std::uint64_t W = weight(Key, Hashes[H]);
      Fleet.offer(H, W);
      if (Members[H].Region == Members[Self].Region)
        Region.offer(H, W);
    }
    ChunkReaders R{Fleet.Best, Region.Best, 0};
    Index Reader = Region.Best[0];
    if (Reader != Self) {
      std::uint64_t OwnWeight = weight(Key, Hashes[Self]);
      for (Index P : DomainPeers)
        R.OwnDomainRank += P == Reader || weight(Key, Hashes[P]) > OwnWeight;
    }
    ByChunk.push_back(R);
    ReadCount += Reader == Self;
  }
  if (IsIngressHost)
    RegionShare = std::max(
        MinIngressShareFactor / static_cast<double>(IngressHosts.size()),
        static_cast<double>(ReadCount) / static_cast<double>(Chunks.size()));
}

} // namespace rosemarylane::swarm
