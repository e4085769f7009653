#include "swarm/Rollout.h"

namespace rosemarylane::swarm {

SwitchDecision decideSwitch(const core::HostId &Self,
                            const core::Digest &Version,
                            std::uint32_t ServingFloor,
                            const std::vector<ReplicaStatus> &Replicas) {
  std::size_t Failed = 0;
  std::size_t Switched = 0;
  std::size_t OthersServing = 0;
  std::size_t MaybeSwitching = 0;
  bool PrecedingLoaded = false;
  const ReplicaStatus *Own = nullptr;
  for (const ReplicaStatus &Replica : Replicas) {
    bool OnVersion = Replica.Loaded == Version;
    Failed += Replica.Failed;
    Switched += OnVersion && Replica.Serving;
    if (Replica.Host == Self) {
      Own = &Replica;
      continue;
    }
    OthersServing += Replica.Serving;
    if (Own || Replica.Failed)
      continue;
    PrecedingLoaded |= !Replica.Loaded.none();
    MaybeSwitching += !OnVersion && Replica.Serving;
  }
  if (Failed > Switched)
    return SwitchDecision::Stop;
  if (!Own)
    return SwitchDecision::Wait;
  if (Own->Loaded.none())
    return SwitchDecision::Switch;
  // The first replica switches alone, as a trial of the new version.
  if (Switched == 0 && PrecedingLoaded)
    return SwitchDecision::Wait;
  return OthersServing >= ServingFloor + MaybeSwitching ? SwitchDecision::Switch
                                                        : SwitchDecision::Wait;
}

} // namespace rosemarylane::swarm
