#ifndef ROSEMARYLANE_SIDECAR_VERSION_CHUNKS_H
#define ROSEMARYLANE_SIDECAR_VERSION_CHUNKS_H

#include "core/BootClock.h"
#include "platform/TargetCalls.h"
#include "swarm/ChunkSet.h"
#include "swarm/DigestDisputes.h"

#include <optional>
#include <string>
#include <utility>
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

  /// @return whether the digest of a chunk matches the manifest.
  bool matches(std::size_t Index, const std::string &Data) const {
    return Index < Bytes.size() &&
           core::Digest::of(Data) == Manifest.Chunks[Index];
  }

  /// Stores a chunk if its digest matches the manifest.
  /// @return whether it matches.
  bool store(std::size_t Index, std::string Data) {
    if (!matches(Index, Data))
      return false;
    Bytes[Index] = std::move(Data);
    Held.insert(Index);
    LastStored = core::BootClock::now();
    return true;
  }

  /// The same for a chunk from another host or the origin. One with another
  /// digest may show that the manifest is wrong.
  /// @param Source the address that sent it.
  bool receive(std::size_t Index, std::string Data, const std::string &Source) {
    core::Digest Received = core::Digest::of(Data);
    bool Stored = store(Index, std::move(Data));
    if (Stored)
      Disputes.recordMatch(Index);
    else
      Disputes.recordMismatch(Index, Received, Source);
    return Stored;
  }

  /// @return a chunk whose digest in the manifest is probably wrong.
  std::optional<swarm::DigestDisputes::Dispute> disputed() const {
    return Disputes.first();
  }

  /// Takes another reading of the manifest; see
  /// `swarm::DigestDisputes::resolve`.
  /// @return whether the manifest was corrected.
  bool correct(const platform::OriginManifest &Reading) {
    return Disputes.resolve(Reading.Chunks, Manifest.Chunks);
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
  swarm::DigestDisputes Disputes;
  std::vector<std::string> Bytes;
  core::BootTime LastStored{};
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_SIDECAR_VERSION_CHUNKS_H
