#ifndef ROSEMARYLANE_SWARM_MANIFEST_H
#define ROSEMARYLANE_SWARM_MANIFEST_H

#include "core/Digest.h"
#include "core/Result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarylane::swarm {

/// Why a manifest is invalid.
struct ManifestError {
  std::string Detail;
};

/// A chunk of a version's weights, identified by the digest of its content.
struct ManifestChunk {
  core::Digest Id;
  std::uint64_t Bytes = 0;

  bool operator==(const ManifestChunk &) const = default;
};

/// The list of chunks that make up one version of a model's weights. The
/// version's id is the digest of the manifest's JSON text.
///
/// A value type without synchronization.
struct Manifest {
  static constexpr std::size_t MaxChunks = 65536;
  /// Agents send a chunk in a single message, which bounds its size.
  static constexpr std::uint64_t MaxChunkBytes = 8 << 20;

  /// The value of `name` in the JSON text. Only kept for `format`; a version is
  /// identified by its digest.
  std::string Name;
  /// In the order of the JSON text; a chunk may occur more than once.
  std::vector<ManifestChunk> Chunks;

  /// Parses and validates the JSON form
  /// `{"name": "...", "chunks": [{"sha256": "HEX", "bytes": 1}, ...]}`.
  static core::Result<Manifest, ManifestError> parse(std::string_view Json);

  /// Like `parse`, but first checks that the digest of \p Json is \p Version.
  static core::Result<Manifest, ManifestError>
  parseVersion(const core::Digest &Version, std::string_view Json);

  /// Serializes the manifest to its JSON form.
  std::string format() const;

  /// @return each chunk once, in the order of its first occurrence.
  std::vector<ManifestChunk> distinctChunks() const;

  /// @return the size of all chunks, with repeated chunks counted each time.
  std::uint64_t totalBytes() const;

  bool operator==(const Manifest &) const = default;
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_MANIFEST_H
