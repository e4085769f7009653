#ifndef ROSEMARYLANE_STANDINS_ENGINE_MEMORY_H
#define ROSEMARYLANE_STANDINS_ENGINE_MEMORY_H

#include "core/Digest.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylane::standins {

/// The chunks in one engine's memory, up to a limit. Engines of one process
/// share the bytes of equal chunks.
class EngineMemory {
public:
  /// @param LimitBytes 0 for no limit.
  /// @param Check whether the bytes of each chunk are compared with its name.
  EngineMemory(std::uint64_t LimitBytes, bool Check)
      : LimitBytes(LimitBytes), Check(Check) {}

  /// @return false if the memory is full.
  bool put(const core::Digest &Name, const std::string &Bytes);
  std::shared_ptr<const std::string> find(const core::Digest &Name) const;
  void erase(const core::Digest &Name);
  void clear();

  /// @return whether the bytes put under that name are those it stands for.
  bool sound(const core::Digest &Name) const;

  std::vector<core::Digest> names() const;
  std::uint64_t freeBytes() const;

private:
  struct Chunk {
    std::shared_ptr<const std::string> Bytes;
    bool Sound = true;
  };

  std::uint64_t LimitBytes;
  bool Check;
  std::uint64_t UsedBytes = 0;
  std::map<core::Digest, Chunk> Chunks;
};

} // namespace rosemarylane::standins

#endif // ROSEMARYLANE_STANDINS_ENGINE_MEMORY_H
