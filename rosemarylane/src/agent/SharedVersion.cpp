#include "agent/SharedVersion.h"

#include "swarm/BaselinePlanners.h"

#include <algorithm>
#include <xxhash.h>

namespace rosemarylane {

namespace {

/// Assumed of a link without a limit, for timeouts only.
constexpr std::uint64_t UnlimitedBytesPerSecond = 100 << 20;

std::chrono::nanoseconds timeFor(std::uint64_t Bytes,
                                 std::uint64_t BytesPerSecond) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(static_cast<double>(Bytes) /
                                    static_cast<double>(BytesPerSecond)));
}

/// Derives the planner's timeouts from what the links can do.
swarm::PlannerSettings plannerSettings(const BandwidthSettings &Links,
                                       std::uint64_t ChunkBytes,
                                       std::uint64_t TotalBytes) {
  using namespace std::chrono_literals;
  constexpr int ChunksUntilTimeout = 20;
  constexpr int ChunksUntilStall = 50;
  std::uint64_t Rate = UnlimitedBytesPerSecond;
  for (std::uint64_t Limit : {Links.Uplink, Links.Downlink})
    if (Limit > 0)
      Rate = std::min(Rate, Limit);
  std::chrono::nanoseconds Chunk = timeFor(ChunkBytes, Rate);
  swarm::PlannerSettings P;
  P.RequestTimeout =
      std::max<std::chrono::nanoseconds>(1s, ChunksUntilTimeout * Chunk);
  P.StallTimeout =
      std::max<std::chrono::nanoseconds>(3s, ChunksUntilStall * Chunk);
  P.CopyTime =
      std::max<std::chrono::nanoseconds>(1s, timeFor(TotalBytes, Rate));
  P.RemoteTimeout = std::max<std::chrono::nanoseconds>(30s, P.CopyTime);
  P.BusyDelay = std::clamp<std::chrono::nanoseconds>(Chunk, 5ms, 200ms);
  P.PollDelay = 2 * P.BusyDelay;
  return P;
}

} // namespace

void SharedVersion::setWant(ChunkExchange::Wanted Newer) {
  Want = std::move(Newer);
  PeerIndex.clear();
  for (std::size_t I = 0; I < Want.Peers.size(); ++I)
    PeerIndex[Want.Peers[I].Host.Host] = I;
}

const SharingPeer *SharedVersion::peer(const core::HostId &Host) const {
  auto Found = PeerIndex.find(Host);
  return Found == PeerIndex.end() ? nullptr : &Want.Peers[Found->second];
}

void SharedVersion::setManifest(swarm::Manifest Whole, const ChunkStore &Store,
                                const Settings &Config, std::uint64_t NewEpoch,
                                core::TimePoint Now) {
  Epoch = NewEpoch;
  Chunks = Whole.distinctChunks();
  Manifest = std::move(Whole);
  TotalBytes = 0;
  std::vector<core::Digest> Ids;
  swarm::ChunkSet Held(Chunks.size());
  std::uint64_t Largest = 0;
  for (std::size_t I = 0; I < Chunks.size(); ++I) {
    Ids.push_back(Chunks[I].Id);
    ChunkIndex[Chunks[I].Id] = I;
    TotalBytes += Chunks[I].Bytes;
    Largest = std::max(Largest, Chunks[I].Bytes);
    if (Store.holds(Chunks[I].Id))
      Held.insert(I);
  }
  swarm::PlannerSettings Limits =
      plannerSettings(Config.Bandwidth, Largest, TotalBytes);
  const std::string &Self = Config.Host.str();
  switch (Config.Planner) {
  case WeightPlanner::Swarm:
    Planner = swarm::SwarmPlanner::create(
        Config.Host, Want.Version, std::move(Ids), std::move(Held), Limits,
        XXH3_64bits(Self.data(), Self.size()));
    break;
  case WeightPlanner::Origin:
    Planner = swarm::createOriginPlanner(std::move(Held), Limits);
    break;
  case WeightPlanner::Tree:
    Planner = swarm::createTreePlanner(Config.Host, std::move(Held), Limits);
    break;
  }
  setMembers(Now);
}

void SharedVersion::setMembers(core::TimePoint Now) {
  if (!Planner)
    return;
  std::vector<swarm::EngineHost> Members;
  for (const SharingPeer &Peer : Want.Peers)
    Members.push_back(Peer.Host);
  Planner->setMembers(std::move(Members), Want.Replicas, Now);
  RenewedAt = {};
}

void SharedVersion::compare(const ChunkStore &Store, core::TimePoint Now) {
  if (!Planner)
    return;
  if (!Store.holds(Want.Version)) {
    Manifest.reset();
    Planner.reset();
    Chunks.clear();
    ChunkIndex.clear();
    return;
  }
  for (std::size_t I = 0; I < Chunks.size(); ++I) {
    bool Held = Store.holds(Chunks[I].Id);
    if (Held == Planner->held().contains(I))
      continue;
    Untold = true;
    if (Held)
      Planner->markStored(I, Now);
    else
      Planner->markLost(I);
  }
}

std::optional<std::size_t>
SharedVersion::indexOf(const core::Digest &Chunk) const {
  auto Found = ChunkIndex.find(Chunk);
  if (Found == ChunkIndex.end())
    return std::nullopt;
  return Found->second;
}

std::vector<core::HostId> SharedVersion::followers(core::TimePoint Now) {
  std::erase_if(Followers,
                [&](const auto &Item) { return Item.second <= Now; });
  std::vector<core::HostId> Result;
  for (const auto &[Host, Until] : Followers)
    Result.push_back(Host);
  return Result;
}

} // namespace rosemarylane
