#include "FleetHosts.h"

#include <string>
#include <utility>

namespace rosemarylane::emulator {

namespace {

/// `UploadSettings::OverLimitInterval` in transfer times of a chunk.
constexpr int ChunksPerOverLimitInterval = 20;

core::Digest chunkId(std::size_t Version, std::size_t Index) {
  return core::Digest::of("chunk " + std::to_string(Index) + " of version " +
                          std::to_string(Version));
}

} // namespace

core::Digest versionId(std::size_t Version) {
  return core::Digest::of("version " + std::to_string(Version));
}

ChunkIndex::ChunkIndex(std::size_t Versions, std::size_t ChunksPerVersion) {
  for (std::size_t V = 0; V < Versions; ++V) {
    std::vector<core::Digest> &OfVersion = Ids.emplace_back();
    for (std::size_t C = 0; C < ChunksPerVersion; ++C) {
      OfVersion.push_back(chunkId(V, C));
      Places[OfVersion.back()] = {V, C};
    }
  }
}

std::deque<FleetHost> makeHosts(const FleetSettings &Settings,
                                std::chrono::nanoseconds ChunkTime) {
  std::deque<FleetHost> Hosts;
  auto Silent = static_cast<std::size_t>(Settings.SilentFraction *
                                         static_cast<double>(Settings.Hosts));
  for (std::size_t H = 0; H < Settings.Hosts; ++H) {
    FleetHost &New = Hosts.emplace_back();
    std::size_t Domain = H % Settings.FailureDomains;
    New.Region = Domain % Settings.Regions;
    New.Location = {core::HostId("host-" + std::to_string(H)),
                    core::RegionId("region-" + std::to_string(New.Region)),
                    core::FailureDomainId("domain-" + std::to_string(Domain))};
    New.Silent = H < Silent;
    swarm::UploadSettings Uploading;
    Uploading.MaxCopies = Settings.MaxUploadCopies;
    Uploading.OverLimitInterval = ChunksPerOverLimitInterval * ChunkTime;
    New.Uploads = std::make_unique<swarm::UploadQueue>(Uploading);
  }
  return Hosts;
}

} // namespace rosemarylane::emulator
