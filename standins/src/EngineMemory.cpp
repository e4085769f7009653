#include "EngineMemory.h"

#include <mutex>
#include <unordered_map>

namespace rosemarylane::standins {

namespace {

constexpr std::uint64_t UnlimitedBytes = 1ULL << 40;

/// Finds equal chunks over all engines of the process.
class SharedBytes {
public:
  std::shared_ptr<const std::string> share(const core::Digest &Name,
                                           const std::string &Bytes) {
    std::lock_guard Lock(Mutex);
    std::weak_ptr<const std::string> &Known = Present[Name];
    auto Found = Known.lock();
    if (Found && *Found == Bytes)
      return Found;
    auto Added = std::make_shared<const std::string>(Bytes);
    Known = Added;
    return Added;
  }

private:
  std::mutex Mutex;
  std::unordered_map<core::Digest, std::weak_ptr<const std::string>> Present;
};

SharedBytes &sharedBytes() {
  static SharedBytes Shared;
  return Shared;
}

} // namespace

bool EngineMemory::put(const core::Digest &Name, const std::string &Bytes) {
  if (Bytes.size() > freeBytes())
    return false;
  erase(Name);
  UsedBytes += Bytes.size();
  Chunks[Name] = {sharedBytes().share(Name, Bytes),
                  !Check || core::Digest::of(Bytes) == Name};
  return true;
}

std::shared_ptr<const std::string>
EngineMemory::find(const core::Digest &Name) const {
  auto Found = Chunks.find(Name);
  return Found == Chunks.end() ? nullptr : Found->second.Bytes;
}

void EngineMemory::erase(const core::Digest &Name) {
  auto Found = Chunks.find(Name);
  if (Found == Chunks.end())
    return;
  UsedBytes -= Found->second.Bytes->size();
  Chunks.erase(Found);
}

void EngineMemory::clear() {
  Chunks.clear();
  UsedBytes = 0;
}

bool EngineMemory::sound(const core::Digest &Name) const {
  auto Found = Chunks.find(Name);
  return Found != Chunks.end() && Found->second.Sound;
}

std::vector<core::Digest> EngineMemory::names() const {
  std::vector<core::Digest> Names;
  for (const auto &[Name, Chunk] : Chunks)
    Names.push_back(Name);
  return Names;
}

std::uint64_t EngineMemory::freeBytes() const {
  std::uint64_t Limit = LimitBytes > 0 ? LimitBytes : UnlimitedBytes;
  return Limit - UsedBytes;
}

} // namespace rosemarylane::standins
