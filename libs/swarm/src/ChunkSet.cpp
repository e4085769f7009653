#include "swarm/ChunkSet.h"

namespace rosemarylane::swarm {

std::optional<ChunkSet> ChunkSet::fromBytes(std::size_t Size,
                                            std::string_view Bytes) {
  if (Bytes.size() != (Size + 7) / 8)
    return std::nullopt;
  ChunkSet Result(Size);
  for (std::size_t I = 0; I < Bytes.size(); ++I)
    Result.Words[I / 8] |= std::uint64_t(static_cast<unsigned char>(Bytes[I]))
                           << (8 * (I % 8));
  if (Size % 64 && Result.Words.back() >> (Size % 64))
    return std::nullopt;
  return Result;
}

std::string ChunkSet::bytes() const {
  std::string Result((Bits + 7) / 8, '\0');
  for (std::size_t I = 0; I < Result.size(); ++I)
    Result[I] = static_cast<char>(Words[I / 8] >> (8 * (I % 8)));
  return Result;
}

std::size_t ChunkSet::count() const {
  std::size_t Total = 0;
  for (std::uint64_t Word : Words)
    Total += static_cast<std::size_t>(std::popcount(Word));
  return Total;
}

ChunkSet &ChunkSet::operator|=(const ChunkSet &Other) {
  for (std::size_t I = 0; I < Words.size(); ++I)
    Words[I] |= Other.Words[I];
  return *this;
}

ChunkSet &ChunkSet::operator-=(const ChunkSet &Other) {
  for (std::size_t I = 0; I < Words.size(); ++I)
    Words[I] &= ~Other.Words[I];
  return *this;
}

ChunkSet &ChunkSet::operator^=(const ChunkSet &Other) {
  for (std::size_t I = 0; I < Words.size(); ++I)
    Words[I] ^= Other.Words[I];
  return *this;
}

} // namespace rosemarylane::swarm
