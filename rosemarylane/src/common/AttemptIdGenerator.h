#ifndef ROSEMARYLANE_COMMON_ATTEMPT_ID_GENERATOR_H
#define ROSEMARYLANE_COMMON_ATTEMPT_ID_GENERATOR_H

#include <cstddef>
#include <random>
#include <string>

namespace rosemarylane {

/// Generates attempt ids that are unique across the fleet and across restarts.
///
/// All bytes come from the operating system: a generator seeded by fewer bits
/// than an id has would repeat the ids of another process, and an agent would
/// take one request for another. Not thread-safe.
class AttemptIdGenerator {
public:
  static constexpr std::size_t Bytes = 16;

  /// @return a new id of 16 random bytes.
  std::string next();

private:
  std::random_device Source;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMON_ATTEMPT_ID_GENERATOR_H
