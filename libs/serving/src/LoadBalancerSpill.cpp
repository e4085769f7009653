// Members of `LoadBalancer` that join it with `DomainSpill`.

#include "serving/LoadBalancer.h"

#include <algorithm>

namespace rosemarylane::serving {

using core::BootTime;

namespace {

/// The room of all domains is told to `DomainSpill` this often at most: walking
/// all targets with each report would cost too much.
constexpr std::chrono::milliseconds SpillRefreshPeriod{100};

} // namespace

double LoadBalancer::freePlaces(const Target &T) const {
  double Free = capacity(T) - T.Load.Running - T.Load.Waiting;
  if (T.Engine)
    Free = std::min(Free, Settings.EngineWaiting - T.Load.Waiting);
  return std::max(0.0, Free);
}

double LoadBalancer::freeSlots(const Target &T) const {
  double Taken = static_cast<double>(T.Load.Running) + T.Load.Waiting;
  return std::min(freePlaces(T), std::max(0.0, T.Info.Slots - Taken));
}

void LoadBalancer::refreshSpill(BootTime Now) {
  if (!Spill ||
      (SpillRefreshedAt && Now - *SpillRefreshedAt < SpillRefreshPeriod))
    return;
  SpillRefreshedAt = Now;
  std::map<std::string, DomainSpill::Rooms> Seen;
  for (const auto &[Id, T] : Targets) {
    if (!statesSpeed(T))
      continue;
    DomainSpill::Rooms &OfService = Seen[T.Info.Service];
    bool Cold = T.WarmupRate > 0 && Now < T.ColdUntil;
    if (!acceptsWork(T, T.Info.Service) || isEjected(T, Now) || Cold)
      continue;
    DomainRoom &Room = OfService[T.Info.FailureDomain];
    ++Room.Targets;
    if (!hasFreshReport(T, Now))
      continue;
    ++Room.Reporting;
    Room.Free += freeSlots(T);
    Room.Capacity += T.Info.Slots;
  }
  for (const auto &[Service, Rooms] : Seen)
    Spill->observe(Service, Rooms, Now);
  SpillShares.clear();
}

double LoadBalancer::spillShare(const Target &T) const {
  auto [Known, IsNew] =
      SpillShares.try_emplace({T.Info.Service, T.Info.FailureDomain}, 0.0);
  if (IsNew)
    Known->second =
        Spill->share(T.Info.Service, T.Info.FailureDomain, GatewayCounts);
  return Known->second;
}

bool LoadBalancer::isSpillActive(const Target &T) const {
  return Spill && Spill->isActive(T.Info.Service);
}

double LoadBalancer::ownShare(const Target &T) const {
  bool SameDomain = T.Info.FailureDomain == Settings.OwnDomain;
  return isSpillActive(T) && SameDomain ? spillShare(T) : gatewayShare(T);
}

std::uint32_t LoadBalancer::spillQuota(const Target &T, double Random) const {
  bool SameDomain = T.Info.FailureDomain == Settings.OwnDomain;
  if (SameDomain || !isSpillActive(T))
    return 0;
  return static_cast<std::uint32_t>(freeSlots(T) * spillShare(T) + Random);
}

LoadBalancer::Departure
LoadBalancer::departure(const TargetRequirements &Demand, BootTime Now) {
  Departure Result;
  // Reports may have ceased.
  refreshSpill(Now);
  if (!Spill || !Spill->isActive(Demand.Service))
    return Result;
  bool HasTarget = false;
  bool HasRoom = false;
  for (auto &[Id, T] : Targets) {
    if (HasRoom)
      break;
    if (T.Info.FailureDomain != Settings.OwnDomain ||
        !isEligible(T, Demand, Now) || !takesRequests(T, Now) ||
        !finishesBeforeSwitch(T, Demand, Now) ||
        Statements.pausedUntil(T.Info.incarnation(), Now))
      continue;
    HasTarget = true;
    HasRoom = hasRoom(T, Now);
  }
  if (!HasTarget) {
    Result.Reason = DomainLeave::NoOwnTarget;
    return Result;
  }
  Spill->recordOwnRoom(Demand.Service, HasRoom, Now);
  Result.Limited = true;
  Result.Reason = HasRoom ? DomainLeave::Better : DomainLeave::OwnDomainFull;
  return Result;
}

bool LoadBalancer::mayLeaveFor(const Target &T, const Departure &Leave,
                               BootTime Now) const {
  if (!Leave.Limited || T.Info.FailureDomain == Settings.OwnDomain)
    return true;
  return hasFreshReport(T, Now) && T.SpillQuota > 0;
}

DomainSurcharge LoadBalancer::domainSurcharge(const Target &T,
                                              const TargetRequirements &Demand,
                                              FractionalMs PerPoint) const {
  if (T.Info.FailureDomain == Settings.OwnDomain)
    return {};
  if (Spill)
    return Spill->surcharge(T.Info.FailureDomain, Demand.ExpectedBytes);
  return {Settings.RemotePenalty, std::chrono::round<std::chrono::milliseconds>(
                                      PerPoint * Settings.RemotePenalty)};
}

} // namespace rosemarylane::serving
