#include "ReadSources.h"

#include <algorithm>

namespace rosemarylane::swarm {

std::vector<SourceChoice> readSources(const ReaderRanks &Ranks,
                                      std::size_t Chunk,
                                      const ChunkState &State,
                                      std::uint32_t Self) {
  const ReaderRanks::ChunkReaders &R = Ranks.readers(Chunk);
  std::vector<SourceChoice> Result;
  auto Add = [&](ChunkFetch::Source From, std::uint32_t Host) {
    bool Known = std::any_of(Result.begin(), Result.end(),
                             [&](const auto &C) { return C.Host == Host; });
    if (Host != Self && Host != ReaderRanks::None && !Known)
      Result.push_back({From, Host});
  };
  bool ReadsOrigin =
      R.Fleet[0] == Self || (R.Fleet[1] == Self && State.NeededByFleet);
  bool ReadsFleet =
      R.Region[0] == Self || (R.Region[1] == Self && State.NeededByRegion);
  if (!ReadsOrigin && !ReadsFleet)
    for (std::uint32_t Reader : R.Region)
      Add(ChunkFetch::Source::RegionReader, Reader);
  if (!ReadsOrigin && (ReadsFleet || Ranks.isIngressHost()))
    for (std::uint32_t Reader : R.Fleet)
      Add(ChunkFetch::Source::FleetReader, Reader);
  if (ReadsOrigin || Ranks.isIngressHost())
    Result.push_back({ChunkFetch::Source::Origin});
  return Result;
}

} // namespace rosemarylane::swarm
