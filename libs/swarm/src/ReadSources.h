#ifndef ROSEMARYLANE_SWARM_READ_SOURCES_H
#define ROSEMARYLANE_SWARM_READ_SOURCES_H

#include "PlannerState.h"
#include "swarm/ReaderRanks.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace rosemarylane::swarm {

/// @return the sources from which the host \p Self can read \p Chunk into its
/// failure domain, best first.
/// @param State what the host knows of the chunk.
/// @param Self index of the host in the list of members.
std::vector<SourceChoice> readSources(const ReaderRanks &Ranks,
                                      std::size_t Chunk,
                                      const ChunkState &State,
                                      std::uint32_t Self);

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_READ_SOURCES_H
