#ifndef ROSEMARYLANE_SIDECAR_VERSION_STORE_H
#define ROSEMARYLANE_SIDECAR_VERSION_STORE_H

#include "sidecar/ChunkFetcher.h"
#include "sidecar/VersionChunks.h"
#include "swarm/Placement.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace rosemarylane {

/// In-memory store of the versions whose manifest is known, with their chunks,
/// complete or not, and the fetcher of the version that is being fetched.
///
/// Filled by `WeightKeeper` and read by `ChunkServer`. Keeps the newest few
/// versions. Not thread-safe: used only on the thread of the event loop.
class VersionStore {
public:
  bool empty() const { return Versions.empty(); }
  bool contains(std::uint64_t Version) const {
    return Versions.contains(Version);
  }

  /// @return the chunks of the version; null if it is not in the store.
  std::shared_ptr<VersionChunks> chunks(std::uint64_t Version) const;
  /// @return the fetcher of the version, valid until the next change of the
  /// store; null if the version is not being fetched.
  ChunkFetcher *fetcher(std::uint64_t Version) const;

  /// @return the newest version of which a chunk's digest is disputed; 0 if
  /// there is none.
  std::uint64_t disputedVersion() const;

  /// Adds a version. Removes the oldest ones if there are too many.
  void add(std::uint64_t Version, std::shared_ptr<VersionChunks> Chunks);

  /// Stops fetching all other versions. Once the newest version is complete,
  /// incomplete older ones are removed; until then, peers may still need their
  /// chunks.
  /// @param Wanted the versions to fetch, the newest first.
  void keepOnlyFetchersOf(const std::vector<std::uint64_t> &Wanted);
  /// Stops fetching the version.
  void removeFetcher(std::uint64_t Version) { Fetchers.erase(Version); }
  void addFetcher(std::uint64_t Version, std::unique_ptr<ChunkFetcher> Fetcher);

  /// Passes the members on to the fetchers.
  void setMembers(const std::vector<swarm::EngineHost> &Members);

private:
  std::map<std::uint64_t, std::shared_ptr<VersionChunks>> Versions;
  std::map<std::uint64_t, std::unique_ptr<ChunkFetcher>> Fetchers;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_SIDECAR_VERSION_STORE_H
