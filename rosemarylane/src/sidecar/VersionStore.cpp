#include "sidecar/VersionStore.h"

namespace rosemarylane {

namespace {

/// Number of versions whose chunks are kept for peers.
constexpr std::size_t MaxVersions = 3;

} // namespace

std::shared_ptr<VersionChunks>
VersionStore::chunks(std::uint64_t Version) const {
  auto Found = Versions.find(Version);
  return Found == Versions.end() ? nullptr : Found->second;
}

ChunkFetcher *VersionStore::fetcher(std::uint64_t Version) const {
  auto Found = Fetchers.find(Version);
  return Found == Fetchers.end() ? nullptr : Found->second.get();
}

void VersionStore::add(std::uint64_t Version,
                       std::shared_ptr<VersionChunks> Chunks) {
  Versions[Version] = std::move(Chunks);
  while (Versions.size() > MaxVersions) {
    Fetchers.erase(Versions.begin()->first);
    Versions.erase(Versions.begin());
  }
}

void VersionStore::keepOnlyFetcherOf(std::uint64_t Version) {
  std::erase_if(Fetchers,
                [&](const auto &Item) { return Item.first != Version; });
  std::erase_if(Versions, [&](const auto &Item) {
    return Item.first < Version && !Item.second->held().full();
  });
}

void VersionStore::addFetcher(std::uint64_t Version,
                              std::unique_ptr<ChunkFetcher> Fetcher) {
  Fetchers[Version] = std::move(Fetcher);
}

void VersionStore::setMembers(const std::vector<swarm::EngineHost> &Members) {
  for (auto &[Version, Fetcher] : Fetchers)
    Fetcher->setMembers(Members);
}

void VersionStore::setRate(std::uint64_t BytesPerSecond) {
  for (auto &[Version, Fetcher] : Fetchers)
    Fetcher->setRate(BytesPerSecond);
}

} // namespace rosemarylane
