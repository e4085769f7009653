#ifndef ROSEMARYLANE_WIRE_BODY_CHECKSUM_H
#define ROSEMARYLANE_WIRE_BODY_CHECKSUM_H

#include <cstdint>
#include <memory>
#include <string_view>

struct XXH3_state_s;

namespace rosemarylane::wire {

/// The XXH3 checksum of an answer's body, taken part by part. Not thread-safe.
class BodyChecksum {
public:
  BodyChecksum();
  ~BodyChecksum();
  BodyChecksum(const BodyChecksum &) = delete;
  BodyChecksum &operator=(const BodyChecksum &) = delete;

  void add(std::string_view Part);

  /// @return the checksum of all parts so far.
  std::uint64_t value() const;

private:
  XXH3_state_s *State;
};

} // namespace rosemarylane::wire

#endif // ROSEMARYLANE_WIRE_BODY_CHECKSUM_H
