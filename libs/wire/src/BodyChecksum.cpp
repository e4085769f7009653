#include "wire/BodyChecksum.h"

#include <new>
#include <xxhash.h>

namespace rosemarylane::wire {

BodyChecksum::BodyChecksum() : State(XXH3_createState()) {
  if (!State)
    throw std::bad_alloc();
  XXH3_64bits_reset(State);
}

BodyChecksum::~BodyChecksum() { XXH3_freeState(State); }

void BodyChecksum::add(std::string_view Part) {
  XXH3_64bits_update(State, Part.data(), Part.size());
}

std::uint64_t BodyChecksum::value() const { return XXH3_64bits_digest(State); }

} // namespace rosemarylane::wire
