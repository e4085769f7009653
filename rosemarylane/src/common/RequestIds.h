#ifndef ROSEMARYLANE_COMMON_REQUEST_IDS_H
#define ROSEMARYLANE_COMMON_REQUEST_IDS_H

#include <cstddef>
#include <random>
#include <string>

namespace rosemarylane {

/// Makes ids of attempts, unique over the fleet and over restarts. Not
/// thread-safe.
///
/// All bytes come from the operating system: a generator seeded by fewer bits
/// than an id has would repeat the ids of another process, and an agent would
/// take one request for another.
class RequestIds {
public:
  static constexpr std::size_t Bytes = 16;

  /// @return a new id of 16 random bytes.
  std::string next();

private:
  std::random_device Source;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMON_REQUEST_IDS_H
