#include "serving/DomainSpill.h"

#include <algorithm>
#include <cmath>

namespace rosemarylane::serving {

using core::BootTime;
using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

namespace {

// In reserves; see `DomainSpill`.
constexpr double PressureBegins = 1;
constexpr double SurplusBegins = 1.5;
constexpr double PressureEnds = 2;
/// Lack of room that was last seen longer ago is forgotten.
constexpr milliseconds LackLifetime{500};
constexpr double BytesPerMegabyte = 1e6;

/// @return the places that a domain keeps for the swings of its own load.
double reserve(const DomainRoom &Room) { return std::sqrt(Room.Capacity); }

} // namespace

void DomainSpill::updateReturn(Domain &D, BootTime Now) const {
  // At the start, domains that were not heard of before count as present.
  if (!D.isKnown()) {
    if (D.KnownAt && !D.AbsentSince)
      D.AbsentSince = Now;
    return;
  }
  bool WasAbsent =
      D.AbsentSince && Now - *D.AbsentSince >= Settings.AbsenceTime;
  D.AbsentSince.reset();
  D.KnownAt = Now;
  if (WasAbsent) {
    D.ReturnedAt = Now;
    D.SmoothFree = D.Room.Free;
  }
  D.ReturnPart = 1;
  if (!D.ReturnedAt)
    return;
  double Passed = Seconds(Now - *D.ReturnedAt) / Seconds(Settings.ReturnTime);
  double Steps = Settings.ReturnSteps;
  D.ReturnPart = std::min(1.0, (std::floor(Passed * Steps) + 1) / Steps);
}

void DomainSpill::updateRoom(Domain &D, Seconds Elapsed) const {
  if (!D.isKnown()) {
    D.Surplus = 0;
    return;
  }
  double Kept = std::exp2(-(Elapsed / Seconds(Settings.RoomHalfLife)));
  D.SmoothFree = D.SmoothFree * Kept + D.Room.Free * (1 - Kept);
  // The lower one: what has just been filled is not free any more.
  double Free = std::min(D.SmoothFree, D.Room.Free);
  double Spare = Free - SurplusBegins * reserve(D.Room);
  D.Surplus = Spare > 0 ? Spare / D.Room.Free : 0;
}

void DomainSpill::updatePressure(Domain &D, bool Lacks, Seconds Elapsed) const {
  double Reserves = 0;
  if (D.isKnown() && D.Room.Capacity > 0)
    Reserves = D.SmoothFree / reserve(D.Room);
  if (Reserves < PressureBegins)
    D.UnderPressure = true;
  else if (Reserves >= PressureEnds)
    D.UnderPressure = false;
  double Wanted = 0;
  if (D.UnderPressure && D.isKnown())
    Wanted = std::clamp(
        (PressureEnds - Reserves) / (PressureEnds - PressureBegins), 0.0, 1.0);
  if (Lacks)
    Wanted = 1;
  double Lowest = D.Pressure - Settings.PressureDecline * Elapsed.count();
  double Highest = D.Pressure + Settings.PressureGrowth * Elapsed.count();
  D.Pressure = std::clamp(Wanted, std::max(0.0, Lowest), Highest);
}

bool DomainSpill::lacksRoom(const ServiceState &S, BootTime Now) const {
  return S.LackSince && S.LackSeenAt - *S.LackSince >= Settings.LeaveAfter &&
         Now - S.LackSeenAt < LackLifetime;
}

void DomainSpill::observe(const std::string &Service, const Rooms &Seen,
                          BootTime Now) {
  ServiceState &S = Services[Service];
  Seconds Elapsed = S.ObservedAt ? Seconds(Now - *S.ObservedAt) : Seconds(0);
  for (auto &[Id, D] : S.Domains)
    if (!Seen.contains(Id))
      D.Room = {};
  for (const auto &[Id, Room] : Seen) {
    auto [Entry, IsNew] = S.Domains.try_emplace(Id);
    Entry->second.Room = Room;
    if (IsNew || !Entry->second.KnownAt)
      Entry->second.SmoothFree = Room.Free;
  }
  for (auto &[Id, D] : S.Domains) {
    updateReturn(D, Now);
    updateRoom(D, Elapsed);
    bool Lacks = Id == Settings.OwnDomain && lacksRoom(S, Now);
    updatePressure(D, Lacks, Elapsed);
  }
  S.ObservedAt = Now;
  announce(Service, S);
}

void DomainSpill::announce(const std::string &Service, ServiceState &S) {
  double Own = isActive(Service) ? pressure(Service) : 0;
  bool Leaves = Own > 0;
  if (Leaves == S.Announced)
    return;
  S.Announced = Leaves;
  if (OnPressure)
    OnPressure(Service, Own);
}

void DomainSpill::recordOwnRoom(std::string_view Service, bool Found,
                                BootTime Now) {
  auto S = Services.find(Service);
  if (S == Services.end())
    return;
  if (Found) {
    S->second.LackSince.reset();
    return;
  }
  bool Forgotten = Now - S->second.LackSeenAt >= LackLifetime;
  if (!S->second.LackSince || Forgotten)
    S->second.LackSince = Now;
  S->second.LackSeenAt = Now;
}

const DomainSpill::ServiceState *
DomainSpill::find(std::string_view Service) const {
  auto Found = Services.find(Service);
  return Found == Services.end() ? nullptr : &Found->second;
}

bool DomainSpill::isActive(std::string_view Service) const {
  const ServiceState *S = find(Service);
  if (!S)
    return false;
  auto Own = S->Domains.find(Settings.OwnDomain);
  if (Own == S->Domains.end() || !Own->second.isKnown())
    return false;
  return std::any_of(S->Domains.begin(), S->Domains.end(), [&](const auto &D) {
    return D.first != Settings.OwnDomain && D.second.Room.Targets > 0;
  });
}

double DomainSpill::pressure(std::string_view Service) const {
  const ServiceState *S = find(Service);
  if (!S)
    return 0;
  auto Own = S->Domains.find(Settings.OwnDomain);
  return Own == S->Domains.end() ? 0 : Own->second.Pressure;
}

double DomainSpill::weight(const ServiceState &S,
                           const core::FailureDomainId &From,
                           const core::FailureDomainId &To,
                           const GatewayCounts &Gateways) const {
  if (From == To)
    return 1;
  auto Source = S.Domains.find(From);
  // Its requests have nowhere else to go.
  if (Source == S.Domains.end() || Source->second.Room.Targets == 0)
    return 1;
  auto Goal = S.Domains.find(To);
  if (Goal == S.Domains.end())
    return 0;
  double Inside = 0;
  double Outside = 0;
  for (const auto &[Id, Count] : Gateways)
    (Id == To ? Inside : Outside) += static_cast<double>(Count);
  // Of `Outside` gateways with this weight beside `Inside` ones of weight 1,
  // all together get the surplus.
  double Surplus = Goal->second.Surplus * Goal->second.ReturnPart;
  if (Surplus >= 1 || Outside == 0)
    return Source->second.Pressure;
  double Full = Surplus / (1 - Surplus) * Inside / Outside;
  return Source->second.Pressure * std::min(1.0, Full);
}

double DomainSpill::share(std::string_view Service,
                          const core::FailureDomainId &To,
                          const GatewayCounts &Gateways) const {
  const ServiceState *S = find(Service);
  if (!S)
    return 0;
  double All = 0;
  for (const auto &[Id, Count] : Gateways)
    All += weight(*S, Id, To, Gateways) * static_cast<double>(Count);
  double Mine = weight(*S, Settings.OwnDomain, To, Gateways);
  double Part = All > 0 ? Mine / std::max(All, Mine) : Mine;
  auto Goal = S->Domains.find(To);
  bool IsOwn = To == Settings.OwnDomain;
  return IsOwn && Goal != S->Domains.end() ? Part * Goal->second.ReturnPart
                                           : Part;
}

DomainSurcharge DomainSpill::surcharge(const core::FailureDomainId &To,
                                       std::uint64_t Bytes) const {
  if (To == Settings.OwnDomain)
    return {};
  auto Here = Settings.RegionOf.find(Settings.OwnDomain);
  auto There = Settings.RegionOf.find(To);
  bool SameRegion = Here != Settings.RegionOf.end() &&
                    There != Settings.RegionOf.end() &&
                    Here->second == There->second;
  auto Base = SameRegion ? Settings.LeaveAfter : Settings.LeaveRegionAfter;
  double Megabytes = static_cast<double>(Bytes) / BytesPerMegabyte;
  std::chrono::duration<double, std::milli> Time =
      Base + Settings.TimePerMegabyte * Megabytes;
  DomainSurcharge Result;
  Result.Points =
      Time / std::chrono::duration<double, std::milli>(Settings.TimePerPoint);
  Result.Time = std::chrono::round<milliseconds>(Time);
  return Result;
}

} // namespace rosemarylane::serving
