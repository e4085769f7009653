#include "serving/StagedChunks.h"

#include <algorithm>

namespace rosemarylane::serving {

using core::BootTime;

void StagedChunks::begin(std::size_t Chunks) {
  WrittenFrom.assign(Chunks, BootTime());
  Writes = 0;
}

std::optional<std::size_t> StagedChunks::nextWrite(BootTime Now) const {
  auto Oldest = std::min_element(WrittenFrom.begin(), WrittenFrom.end());
  if (Oldest == WrittenFrom.end())
    return std::nullopt;
  bool Unwritten = *Oldest == BootTime();
  bool TooOld = Now - *Oldest > MaxAge;
  bool MayRepeat = Writes < MaxPasses * WrittenFrom.size();
  if (!Unwritten && !(TooOld && MayRepeat))
    return std::nullopt;
  return static_cast<std::size_t>(Oldest - WrittenFrom.begin());
}

void StagedChunks::recordWrite(std::size_t Chunk, BootTime From) {
  WrittenFrom[Chunk] = From;
  ++Writes;
}

BootTime StagedChunks::oldestWrite() const {
  if (WrittenFrom.empty())
    return BootTime();
  return *std::min_element(WrittenFrom.begin(), WrittenFrom.end());
}

} // namespace rosemarylane::serving
