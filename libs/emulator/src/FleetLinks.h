#ifndef ROSEMARYLANE_EMULATOR_FLEET_LINKS_H
#define ROSEMARYLANE_EMULATOR_FLEET_LINKS_H

#include "core/Time.h"
#include "emulator/RolloutModel.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace rosemarylane::emulator {

/// The links that all hosts of a fleet share: from the origin, and into each
/// region. Each sends one chunk after the other.
///
/// Calls have to come in the order of their times. Not thread-safe.
class FleetLinks {
public:
  using Duration = std::chrono::nanoseconds;

  /// @param Settings have to outlive this object.
  /// @param ChunkTime transfer time of a chunk over a host's link.
  /// @param Start when the run starts.
  FleetLinks(const FleetSettings &Settings, Duration ChunkTime,
             core::TimePoint Start);

  /// @return how long a message takes between hosts of two regions.
  static Duration latency(std::size_t RegionA, std::size_t RegionB);

  struct OriginRead {
    bool Succeeds = false;
    /// When the chunk arrives at the host's downlink, or the read fails.
    core::TimePoint EndsAt{};
  };

  /// Reads a chunk from the origin.
  OriginRead readOrigin(core::TimePoint Now);

  /// Sends a chunk from another region into \p Region.
  /// @return when the region's link has sent it.
  core::TimePoint sendIntoRegion(std::size_t Region, core::TimePoint Now);

  /// @return the number of chunks read from the origin.
  std::size_t originChunks() const { return OriginChunks; }
  /// @return the maximum over regions of the chunks from other regions.
  std::size_t maxRegionChunks() const;

private:
  Duration chunkTimeAt(double Rate) const;

  const FleetSettings &Settings;
  const Duration ChunkTime;
  core::TimePoint OriginDownAt;
  core::TimePoint OriginBackAt;
  std::size_t OriginChunks = 0;
  core::TimePoint OriginFreeAt{};
  std::vector<core::TimePoint> RegionFreeAt;
  std::vector<std::size_t> RegionChunks;
};

} // namespace rosemarylane::emulator

#endif // ROSEMARYLANE_EMULATOR_FLEET_LINKS_H
