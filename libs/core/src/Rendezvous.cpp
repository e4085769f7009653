#include "core/Rendezvous.h"

#include <xxhash.h>

namespace rosemarylane::core {

std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Member) {
  XXH64_hash_t Seed = XXH3_64bits(Key.data(), Key.size());
  return XXH3_64bits_withSeed(Member.data(), Member.size(), Seed);
}

} // namespace rosemarylane::core
