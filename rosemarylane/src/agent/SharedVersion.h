#ifndef ROSEMARYLANE_AGENT_SHARED_VERSION_H
#define ROSEMARYLANE_AGENT_SHARED_VERSION_H

#include "agent/ChunkExchange.h"
#include "common/Settings.h"
#include "core/Time.h"
#include "swarm/ChunkSet.h"
#include "swarm/Manifest.h"
#include "swarm/SwarmPlanner.h"

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rosemarylane {

/// What an agent knows of one version that it shares with others: the manifest,
/// the planner, and the peers that follow what is held here.
///
/// On the control duty.
class SharedVersion {
public:
  explicit SharedVersion(ChunkExchange::Wanted Want) {
    setWant(std::move(Want));
  }

  void setWant(ChunkExchange::Wanted Newer);
  const ChunkExchange::Wanted &want() const { return Want; }
  const core::Digest &version() const { return Want.Version; }

  /// @return the peer of that name, or null.
  const SharingPeer *peer(const core::HostId &Host) const;

  const swarm::Manifest *manifest() const {
    return Manifest ? &*Manifest : nullptr;
  }

  /// Takes the manifest, and plans the fetch of what \p Store does not hold.
  /// @param Epoch differs for each planner, whose fetch ids start anew.
  void setManifest(swarm::Manifest Whole, const ChunkStore &Store,
                   const Settings &Config, std::uint64_t Epoch,
                   core::TimePoint Now);

  /// Tells the planner who shares the version.
  void setMembers(core::TimePoint Now);

  /// Brings the planner to what \p Store holds; without the manifest there, the
  /// engine has lost its memory, and the version is fetched anew.
  void compare(const ChunkStore &Store, core::TimePoint Now);

  /// Null before the manifest is known.
  swarm::SwarmPlanner *planner() { return Planner.get(); }
  const swarm::ManifestChunk &chunk(std::size_t Index) const {
    return Chunks[Index];
  }
  std::optional<std::size_t> indexOf(const core::Digest &Chunk) const;
  std::uint64_t epoch() const { return Epoch; }
  std::uint64_t totalBytes() const { return TotalBytes; }

  // Those who want to hear of each change of what is held here.
  void follow(const core::HostId &Host, core::TimePoint Until) {
    Followers[Host] = Until;
  }
  std::vector<core::HostId> followers(core::TimePoint Now);

  // What the exchange remembers between its steps.

  /// The engine's memory was full.
  core::TimePoint PausedUntil{};
  /// Holdings changed since they were told.
  bool Untold = true;
  core::TimePoint ToldAt{};
  core::TimePoint RenewedAt{};

private:
  ChunkExchange::Wanted Want;
  std::unordered_map<core::HostId, std::size_t> PeerIndex;
  std::optional<swarm::Manifest> Manifest;
  std::vector<swarm::ManifestChunk> Chunks;
  std::unordered_map<core::Digest, std::size_t> ChunkIndex;
  std::uint64_t TotalBytes = 0;
  std::uint64_t Epoch = 0;
  std::unique_ptr<swarm::SwarmPlanner> Planner;
  std::map<core::HostId, core::TimePoint> Followers;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_AGENT_SHARED_VERSION_H
