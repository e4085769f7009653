#ifndef ROSEMARYLANE_SERVING_STAGED_CHUNKS_H
#define ROSEMARYLANE_SERVING_STAGED_CHUNKS_H

#include "core/BootClock.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace rosemarylane::serving {

/// When each chunk of a version was last written to a target's staging area,
/// and which one to write next before the load is ordered.
///
/// A target does not check staged chunks, and they may turn bad where they lie.
/// A chunk that was written shortly before the order needs no check, so chunks
/// that have become too old are written again. Value type without a clock of
/// its own; not thread-safe.
class StagedChunks {
public:
  /// Age of the oldest chunk up to which a load may be ordered. The answer to
  /// the order still has to come within `LoadProof::Tolerance`.
  static constexpr std::chrono::milliseconds MaxAge{1500};
  /// Writes of each chunk, on average, after which a target counts as too slow
  /// for `MaxAge`. Its load is ordered all the same, and proven by reading the
  /// chunks back.
  static constexpr std::size_t MaxPasses = 2;

  /// Begins to stage a version of \p Chunks chunks. Writes before do not count:
  /// after one that failed, others may not have been made either.
  void begin(std::size_t Chunks);

  /// @return the chunk to write next, the oldest first; empty if the load may
  /// be ordered.
  std::optional<std::size_t> nextWrite(core::BootTime Now) const;

  /// Records that a chunk was written.
  /// @param From when the write began.
  void recordWrite(std::size_t Chunk, core::BootTime From);

  /// @return when the oldest write began; the epoch if a chunk is not written.
  core::BootTime oldestWrite() const;

  /// @return whether nothing has to be written before a load is ordered now.
  bool mayOrder(core::BootTime Now) const { return !nextWrite(Now); }

private:
  /// By chunk; the epoch if it was not written.
  std::vector<core::BootTime> WrittenFrom;
  /// Since `begin`.
  std::size_t Writes = 0;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_STAGED_CHUNKS_H
