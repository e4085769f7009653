#ifndef ROSEMARYLANE_SWARM_CHUNK_SET_H
#define ROSEMARYLANE_SWARM_CHUNK_SET_H

#include <bit>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarylane::swarm {

/// A set of chunks of one version, by their index in the manifest.
///
/// A plain value type.
class ChunkSet {
public:
  ChunkSet() = default;
  explicit ChunkSet(std::size_t Size) : Bits(Size), Words((Size + 63) / 64) {}

  /// Reads what `bytes` wrote for a set of \p Size chunks.
  static std::optional<ChunkSet> fromBytes(std::size_t Size,
                                           std::string_view Bytes);

  /// @return one bit for each chunk, the lowest bit of the first byte first.
  std::string bytes() const;

  /// @return the number of chunks in the version, held or not.
  std::size_t size() const { return Bits; }
  std::size_t count() const;
  bool full() const { return count() == Bits; }

  bool contains(std::size_t Index) const {
    return Words[Index / 64] >> (Index % 64) & 1;
  }
  void insert(std::size_t Index) {
    Words[Index / 64] |= std::uint64_t(1) << (Index % 64);
  }
  void erase(std::size_t Index) {
    Words[Index / 64] &= ~(std::uint64_t(1) << (Index % 64));
  }

  ChunkSet &operator|=(const ChunkSet &Other);
  ChunkSet &operator-=(const ChunkSet &Other);
  ChunkSet &operator^=(const ChunkSet &Other);

  /// Calls \p Visit with each index of the set, lowest first.
  template <typename Visitor> void forEach(Visitor Visit) const {
    for (std::size_t W = 0; W < Words.size(); ++W)
      for (std::uint64_t Left = Words[W]; Left; Left &= Left - 1)
        Visit(W * 64 + static_cast<std::size_t>(std::countr_zero(Left)));
  }

  bool operator==(const ChunkSet &) const = default;

private:
  std::size_t Bits = 0;
  std::vector<std::uint64_t> Words;
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_CHUNK_SET_H
