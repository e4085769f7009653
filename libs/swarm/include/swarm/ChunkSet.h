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

/// A set of chunks of one version, stored as a bitmap over their indexes in the
/// version's list of distinct chunks.
///
/// Used to record and exchange which chunks a host holds. A value type without
/// synchronization: an object may be used by one thread at a time. Operators
/// expect both sets to have the same size.
class ChunkSet {
public:
  ChunkSet() = default;
  explicit ChunkSet(std::size_t Size) : Bits(Size), Words((Size + 63) / 64) {}

  /// Decodes a bitmap that `bytes` encoded.
  /// @param Size the number of chunks in the version.
  /// @return the set; none if the length does not fit \p Size or a bit beyond
  /// the last chunk is set.
  static std::optional<ChunkSet> fromBytes(std::size_t Size,
                                           std::string_view Bytes);

  /// Encodes the set as a bitmap, least significant bit of the first byte
  /// first.
  std::string bytes() const;

  /// @return the number of chunks in the version, whether in the set or not.
  std::size_t size() const { return Bits; }
  /// @return the number of chunks in the set.
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

  /// Calls \p Visit with each index in the set in ascending order.
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
