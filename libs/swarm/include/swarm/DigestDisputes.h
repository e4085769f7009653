#ifndef ROSEMARYLANE_SWARM_DIGEST_DISPUTES_H
#define ROSEMARYLANE_SWARM_DIGEST_DISPUTES_H

#include "core/Digest.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylane::swarm {

/// Finds wrong digests in the manifest of a version.
///
/// The origin's responses may be corrupt, and nothing signs a manifest. A
/// digest is proved by a chunk that has it. If a chunk is received twice in a
/// row with the same other digest, its digest in the manifest is disputed, and
/// the manifest has to be read again. A digest is replaced only if the other
/// reading states what was received, so that no chunk is taken that no manifest
/// names. Value type without input or output; not thread-safe.
class DigestDisputes {
public:
  struct Dispute {
    std::size_t Chunk = 0;
    /// The address that sent the chunk last.
    std::string Source;
  };

  /// Records that a chunk was received with another digest than the manifest
  /// states.
  void recordMismatch(std::size_t Chunk, const core::Digest &Received,
                      std::string Source);

  /// Records that a chunk was received with the digest of the manifest.
  void recordMatch(std::size_t Chunk) { Mismatches.erase(Chunk); }

  /// @return the first chunk whose digest is disputed.
  std::optional<Dispute> first() const;

  /// Replaces the disputed digests that \p Reading, another reading of the
  /// manifest, states as they were received. Those that it does not confirm are
  /// no longer disputed, until the chunk has been received twice more.
  /// @return whether a digest was replaced.
  bool resolve(const std::vector<core::Digest> &Reading,
               std::vector<core::Digest> &Digests);

private:
  struct Mismatch {
    core::Digest Received;
    std::size_t Times = 0;
    std::string Source;
  };

  std::map<std::size_t, Mismatch> Mismatches;
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_DIGEST_DISPUTES_H
