#include "agent/ReplicaView.h"

#include <algorithm>
#include <map>

namespace rosemarylane {

namespace {

const wire::Holding *holding(const wire::MemberSummary &Member,
                             const core::EntryName &Entry) {
  for (const wire::Holding &H : Member.holdings())
    if (H.entry() == Entry.str())
      return &H;
  return nullptr;
}

} // namespace

std::vector<swarm::EngineHost> engineHosts(const Members &Fleet) {
  std::vector<swarm::EngineHost> Result;
  for (const wire::MemberSummary &Member : Fleet)
    if (!Member.plain_service() && !Member.draining())
      Result.push_back(
          {core::HostId(Member.member().host()),
           core::RegionId(Member.member().region()),
           core::FailureDomainId(Member.member().failure_domain())});
  return Result;
}

std::vector<swarm::ReplicaStatus>
replicaStatuses(const core::CatalogueEntry &Entry,
                const core::Configuration &Config, const Members &Fleet,
                const swarm::ReplicaStatus &Self) {
  std::map<core::HostId, const wire::MemberSummary *> ByHost;
  for (const wire::MemberSummary &Member : Fleet)
    ByHost[core::HostId(Member.member().host())] = &Member;

  std::vector<swarm::ReplicaStatus> Result;
  for (const swarm::EngineHost &Replica :
       swarm::replicaHosts(Entry, Config, engineHosts(Fleet))) {
    if (Replica.Host == Self.Host) {
      Result.push_back(Self);
      continue;
    }
    swarm::ReplicaStatus &Status = Result.emplace_back();
    Status.Host = Replica.Host;
    const wire::Holding *H = holding(*ByHost.at(Replica.Host), Entry.Name);
    if (!H)
      continue;
    Status.Loaded =
        core::Digest::fromBytes(H->version()).value_or(core::Digest());
    Status.Serving = H->serving() && H->warm();
    Status.Failed = H->failed_version() == Entry.Version.bytes();
  }
  return Result;
}

} // namespace rosemarylane
