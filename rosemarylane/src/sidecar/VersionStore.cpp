#include "sidecar/VersionStore.h"

#include <algorithm>

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

std::uint64_t VersionStore::disputedVersion() const {
  auto Found =
      std::find_if(Versions.rbegin(), Versions.rend(), [](const auto &Item) {
        return Item.second->disputed().has_value();
      });
  return Found == Versions.rend() ? 0 : Found->first;
}

void VersionStore::add(std::uint64_t Version,
                       std::shared_ptr<VersionChunks> Chunks) {
  Versions[Version] = std::move(Chunks);
  while (Versions.size() > MaxVersions) {
    Fetchers.erase(Versions.begin()->first);
    Versions.erase(Versions.begin());
  }
}

void VersionStore::keepOnlyFetchersOf(
    const std::vector<std::uint64_t> &Wanted) {
  std::erase_if(Fetchers, [&](const auto &Item) {
    return std::find(Wanted.begin(), Wanted.end(), Item.first) == Wanted.end();
  });
  for (auto &[Version, Fetcher] : Fetchers)
    Fetcher->setSuperseded(Version != Wanted.front());
  if (Versions.empty() || !Versions.rbegin()->second->held().full())
    return;
  std::erase_if(Versions, [&](const auto &Item) {
    return !Item.second->held().full() && !Fetchers.contains(Item.first);
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

} // namespace rosemarylane
