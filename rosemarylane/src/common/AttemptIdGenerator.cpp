#include "common/AttemptIdGenerator.h"

#include <cstring>

namespace rosemarylane {

std::string AttemptIdGenerator::next() {
  std::string Id(Bytes, '\0');
  for (std::size_t I = 0; I < Bytes;
       I += sizeof(std::random_device::result_type)) {
    auto Word = Source();
    std::memcpy(Id.data() + I, &Word, sizeof(Word));
  }
  return Id;
}

} // namespace rosemarylane
