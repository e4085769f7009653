#ifndef ROSEMARYLANE_SWARM_MANIFEST_H
#define ROSEMARYLANE_SWARM_MANIFEST_H

#include "core/Digest.h"
#include "core/Result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarylane::swarm {

/// Why a manifest was refused.
struct ManifestError {
  std::string Detail;
};

/// A piece of a version's weights, named by the digest of its bytes.
struct ManifestChunk {
  core::Digest Id;
  std::uint64_t Bytes = 0;

  bool operator==(const ManifestChunk &) const = default;
};

/// The list of chunks that make up one version. The digest of its bytes is the
/// version.
///
/// A plain value type.
struct Manifest {
  static constexpr std::size_t MaxChunks = 65536;
  /// A chunk travels in one message between agents.
  static constexpr std::uint64_t MaxChunkBytes = 8 << 20;

  std::string Name;
  std::vector<ManifestChunk> Chunks;

  /// Reads and checks the JSON form
  /// `{"name": "...", "chunks": [{"sha256": "HEX", "bytes": 1}, ...]}`.
  static core::Result<Manifest, ManifestError> parse(std::string_view Json);

  /// As `parse`, but first checks that \p Json is the manifest of \p Version.
  static core::Result<Manifest, ManifestError>
  parseVersion(const core::Digest &Version, std::string_view Json);

  /// @return the JSON form.
  std::string format() const;

  /// @return each chunk once, in the order of first use.
  std::vector<ManifestChunk> distinctChunks() const;

  std::uint64_t totalBytes() const;

  bool operator==(const Manifest &) const = default;
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_MANIFEST_H
