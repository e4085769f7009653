#ifndef ROSEMARYLANE_EMULATOR_FLEET_HOSTS_H
#define ROSEMARYLANE_EMULATOR_FLEET_HOSTS_H

#include "core/Digest.h"
#include "core/Ids.h"
#include "core/Time.h"
#include "emulator/RolloutModel.h"
#include "swarm/Placement.h"
#include "swarm/SwarmPlanner.h"
#include "swarm/TokenBucket.h"
#include "swarm/UploadQueue.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rosemarylane::emulator {

inline constexpr std::uint64_t ChunkBytes = 1 << 20;

/// A chunk of a version.
struct ChunkOf {
  std::size_t Version = 0;
  std::size_t Chunk = 0;
};

core::Digest versionId(std::size_t Version);

/// The ids of the chunks of all versions. Immutable after construction.
class ChunkIndex {
public:
  ChunkIndex(std::size_t Versions, std::size_t ChunksPerVersion);

  const std::vector<core::Digest> &chunksOf(std::size_t Version) const {
    return Ids[Version];
  }
  ChunkOf find(const core::Digest &Id) const { return Places.at(Id); }

private:
  /// By version and chunk.
  std::vector<std::vector<core::Digest>> Ids;
  std::unordered_map<core::Digest, ChunkOf> Places;
};

/// What a host has of one version.
struct VersionCopy {
  std::unique_ptr<swarm::SwarmPlanner> Planner;
  /// The hosts that are told which chunks this one holds.
  std::vector<std::size_t> Subscribers;
  bool AnnouncementPending = false;
  core::TimePoint AnnouncedAt{};
  core::TimePoint LastChunkAt{};
  std::optional<core::TimePoint> CompletedAt;
};

struct FleetHost {
  swarm::EngineHost Location;
  std::size_t Region = 0;
  /// By version; empty until the version is named.
  std::vector<VersionCopy> Copies;
  std::unique_ptr<swarm::UploadQueue> Uploads;
  swarm::TokenBucket RegionLink{0, 0};
  bool Alive = true;
  bool Silent = false;
  /// Whether the uplink is sending a chunk.
  bool Sending = false;
  core::TimePoint DownlinkFreeAt{};
  /// When a host last failed to reach the origin, as far as this one knows;
  /// cleared by a read that succeeds.
  core::TimePoint OriginFailedAt{};
  /// Numbers of chunks sent and received, duplicates included.
  std::size_t Sent = 0;
  std::size_t Received = 0;

  /// @param Versions the number of versions in the whole run.
  bool holdsNewest(std::size_t Versions) const {
    return Copies.size() == Versions && Copies.back().CompletedAt.has_value();
  }
};

/// @return the hosts of a fleet, none of which has heard of a version.
/// @param ChunkTime transfer time of a chunk over a host's link.
std::deque<FleetHost> makeHosts(const FleetSettings &Settings,
                                std::chrono::nanoseconds ChunkTime);

} // namespace rosemarylane::emulator

#endif // ROSEMARYLANE_EMULATOR_FLEET_HOSTS_H
