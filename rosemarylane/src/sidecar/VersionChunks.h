#ifndef ROSEMARYLANE_SIDECAR_VERSION_CHUNKS_H
#define ROSEMARYLANE_SIDECAR_VERSION_CHUNKS_H

#include "core/BootClock.h"
#include "platform/TargetCalls.h"
#include "swarm/ChunkSet.h"

#include <string>
#include <vector>

namespace rosemarylane {

/// Limit of the size of a chunk that is received, from whatever source.
inline constexpr std::size_t MaxChunkBytes = 1 << 20;

/// In-memory store of the chunks of one version of the weights. Every chunk is
/// verified against its digest in the manifest.
///
/// Shared by the fetcher that fills it and the peers' requests that read it.
/// Not thread-safe: used only on the thread of the event loop.
class VersionChunks {
public:
  explicit VersionChunks(platform::OriginManifest Manifest)
      : Manifest(std::move(Manifest)), Held(this->Manifest.Chunks.size()),
        Bytes(this->Manifest.Chunks.size()) {}

  /// Stores a chunk if its digest matches the manifest.
  /// @return whether it matches.
  bool store(std::size_t Index, std::string Data) {
    if (Index >= Bytes.size() ||
        core::Digest::of(Data) != Manifest.Chunks[Index])
      return false;
    Bytes[Index] = std::move(Data);
    Held.insert(Index);
    LastStored = core::BootClock::now();
    return true;
  }

  const platform::OriginManifest &manifest() const { return Manifest; }
  const swarm::ChunkSet &held() const { return Held; }
  std::size_t size() const { return Bytes.size(); }
  /// @return when the last chunk was stored; the epoch of `core::BootClock` if
  /// none was.
  core::BootTime lastStored() const { return LastStored; }

  bool has(std::size_t Index) const {
    return Index < Bytes.size() && Held.contains(Index);
  }
  const std::string &bytes(std::size_t Index) const { return Bytes[Index]; }

private:
  platform::OriginManifest Manifest;
  swarm::ChunkSet Held;
  std::vector<std::string> Bytes;
  core::BootTime LastStored{};
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_SIDECAR_VERSION_CHUNKS_H
