#include "sidecar/ServedModel.h"

#include "core/Rendezvous.h"
#include "platform/Records.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace rosemarylane {

using core::BootClock;
using core::BootTime;

namespace {

std::string hostIp(const std::string &Address) {
  return Address.substr(0, Address.find(':'));
}

} // namespace

void ServedModel::operatorsChanged(const serving::StoreSection::Items &Items) {
  platform::OperatorRecords Records = platform::decodeOperators(Items);
  if (Records.Config)
    Config = std::move(Records.Config);
  findService();
  for (const platform::NamedVersion &V : Records.Versions) {
    // Without an earlier read of the store, assume that the version was named
    // long enough ago to be in force.
    BootTime At = V.NamedAfter.value_or(
        BootClock::now() - Settings.Objectives.VersionActivationDelay);
    auto [Entry, Inserted] = NamedVersions.try_emplace(
        {V.Model, V.Version}, VersionTimes{At, BootClock::now()});
    if (V.NamedAfter)
      Entry->second.NamedAt = std::max(Entry->second.NamedAt, At);
    if (Inserted)
      telemetry::log(
          telemetry::Level::Info, "version wanted",
          {{"model", V.Model}, {"version", std::int64_t(V.Version)}});
  }
}

void ServedModel::registryChanged(const serving::StoreSection::Items &Items) {
  Targets = platform::decodeRegistry(Items).Targets;
  findService();
}

void ServedModel::findService() {
  for (const serving::RegisteredTarget &T : Targets)
    if (T.Address == Settings.TargetAddress)
      Service = T.Service;
  if (!Config)
    return;
  const serving::Service *Own = Config->service(Service);
  if (!Own || !Own->Engine || Own->Engine->Models.empty())
    return;
  Model = Own->Engine->Models.front();
  for (const serving::Service &S : Config->Services)
    if (!S.OriginAddress.empty())
      OriginAddress = S.OriginAddress;
}

double ServedModel::copyBytes() const {
  const serving::Service *Own = Config->service(Service);
  // The service may have been removed from the configuration meanwhile.
  if (!Own || !Own->Engine)
    return 0;
  return static_cast<double>(Own->Engine->Chunks) * Own->Engine->ChunkBytes;
}

std::size_t ServedModel::chunkBytes() const {
  const serving::Service *Own = Config->service(Service);
  return Own && Own->Engine ? Own->Engine->ChunkBytes : 0;
}

std::uint64_t ServedModel::newestVersion() const {
  std::uint64_t Newest = FirstVersion;
  for (const auto &[Key, Times] : NamedVersions)
    if (Key.first == Model)
      Newest = Key.second;
  return Newest;
}

std::vector<serving::KnownVersion> ServedModel::versions() const {
  std::vector<serving::KnownVersion> Result;
  for (const auto &[Key, Times] : NamedVersions) {
    if (Key.first != Model)
      continue;
    serving::KnownVersion &V = Result.emplace_back();
    V.Number = Key.second;
    V.NamedAt = Times.NamedAt;
    V.LearntAt = Times.LearntAt;
  }
  if (Result.empty())
    Result.emplace_back().Number = FirstVersion;
  return Result;
}

std::vector<swarm::EngineHost> ServedModel::members() const {
  std::vector<swarm::EngineHost> Result;
  BootTime Now = BootClock::now();
  std::set<std::string> Seen;
  for (const serving::RegisteredTarget &T : Targets) {
    std::string Ip = hostIp(T.Address);
    bool Live = Ip == Settings.Ip || Follower.peers().isLive(Ip, Now);
    auto Region = Settings.RegionOf.find(T.FailureDomain);
    if (T.Service != Service || !Live || Region == Settings.RegionOf.end() ||
        !Seen.insert(Ip).second)
      continue;
    Result.push_back({core::HostId(Ip), Region->second, T.FailureDomain});
  }
  return Result;
}

std::vector<swarm::EngineHost>
ServedModel::rankedMembers(std::uint64_t Version) const {
  return core::rendezvousRank(
      Model + "/" + std::to_string(Version), members(),
      [](const auto &H) { return std::string_view(H.Host.str()); });
}

std::vector<swarm::EngineHost>
ServedModel::switchSequence(std::uint64_t Version) const {
  std::map<core::FailureDomainId, std::size_t> InDomain;
  std::vector<std::pair<std::size_t, swarm::EngineHost>> Placed;
  for (swarm::EngineHost &H : rankedMembers(Version))
    Placed.emplace_back(InDomain[H.FailureDomain]++, std::move(H));
  std::stable_sort(
      Placed.begin(), Placed.end(),
      [](const auto &A, const auto &B) { return A.first < B.first; });
  std::vector<swarm::EngineHost> Result;
  for (auto &[Place, H] : Placed)
    Result.push_back(std::move(H));
  return Result;
}

} // namespace rosemarylane
