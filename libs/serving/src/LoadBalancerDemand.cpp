// Members of `LoadBalancer` that follow the demand, and divide the free places
// of targets among the gateways and the priorities.

#include "serving/LoadBalancer.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace rosemarylane::serving {

namespace {

/// Demand seen this long ago counts half.
constexpr std::chrono::milliseconds DemandHalfLife{2000};
/// Time for which the free places of one report are there to be taken, until
/// the next one replaces it.
constexpr std::chrono::milliseconds ReportLifetime{100};
/// The largest factor by which a gateway's share of the free places is raised,
/// because the other gateways seldom have a request for theirs.
constexpr double MaxShareFactor = 4;
/// A gateway whose shares of free places come to this many all in all finds one
/// nearly always, although each is rounded at random.
constexpr double EnoughPlaces = 3;
/// The urgent have slots kept for them while they are at least this fraction of
/// the demand.
constexpr double MinUrgentShare = 0.02;
/// Tokens of a prompt if neither the configuration nor any request tells.
constexpr double AssumedPrompt = 1000;

} // namespace

void LoadBalancer::ServiceState::configure(const std::string &Name,
                                           const ServingConfig &Config) {
  const Service *Configured = Config.service(Name);
  Timings.reset();
  if (Configured && Configured->Engine)
    Timings = Configured->Engine->Timings;
  ShortestObjective = {};
  ObjectiveByPriority.clear();
  for (const Route &R : Config.Routes) {
    bool Leads =
        std::any_of(R.Services.begin(), R.Services.end(),
                    [&](const auto &To) { return To.Service == Name; });
    if (!Leads)
      continue;
    auto At = ObjectiveByPriority.emplace(R.Priority, R.LatencyObjective).first;
    At->second = std::min(At->second, R.LatencyObjective);
    if (ShortestObjective.count() == 0)
      ShortestObjective = R.LatencyObjective;
    ShortestObjective = std::min(ShortestObjective, R.LatencyObjective);
  }
  if (ObjectiveByPriority.size() < 2)
    ObjectiveByPriority.clear();
}

void LoadBalancer::ServiceState::decay(core::BootTime Now) {
  double Factor =
      std::exp2(-(FractionalMs(Now - SeenAt) / FractionalMs(DemandHalfLife)));
  for (double *Count : {&Seen, &PromptsSeen, &PromptTokensSeen})
    *Count *= Factor;
  for (auto &[Priority, Count] : SeenByPriority)
    Count *= Factor;
  SeenAt = Now;
}

double LoadBalancer::ServiceState::wantsPlace(core::BootTime Now) const {
  double HalfLives = FractionalMs(Now - SeenAt) / FractionalMs(DemandHalfLife);
  double PerMs = Seen * std::exp2(-HalfLives) * std::numbers::ln2 /
                 FractionalMs(DemandHalfLife).count();
  double Expected = PerMs * FractionalMs(ReportLifetime).count();
  return 1 - std::exp(-Expected);
}

EngineTimings LoadBalancer::ServiceState::timings() const {
  EngineTimings Result = *Timings;
  bool HasSeen = PromptsSeen > 0;
  if (Result.UsualPrompt <= 0)
    Result.UsualPrompt =
        HasSeen ? PromptTokensSeen / PromptsSeen : AssumedPrompt;
  return Result;
}

void LoadBalancer::recordDemand(const TargetRequirements &Demand,
                                core::BootTime Now) {
  auto Found = Services.find(Demand.Service);
  if (Found == Services.end())
    return;
  ServiceState &Of = Found->second;
  Of.decay(Now);
  ++Of.Seen;
  if (Of.ObjectiveByPriority.contains(Demand.Priority))
    ++Of.SeenByPriority[Demand.Priority];
  if (Demand.PromptTokens > 0) {
    ++Of.PromptsSeen;
    Of.PromptTokensSeen += Demand.PromptTokens;
  }
}

LoadBalancer::TargetCounts
LoadBalancer::countTargets(std::string_view Service) const {
  TargetCounts Result;
  for (const auto &[Id, T] : Targets) {
    bool AcceptsWork = T.Info.Service == Service &&
                       !isLeaving(T.Info.incarnation()) &&
                       !Evacuated.contains(T.Info.FailureDomain);
    if (!AcceptsWork)
      continue;
    ++Result.Total;
    ++Result.InDomain[T.Info.FailureDomain];
  }
  return Result;
}

double LoadBalancer::remoteDomainWeight(const core::FailureDomainId &Domain,
                                        const TargetCounts &Of) const {
  double AllGateways = 0;
  for (const auto &[Other, Count] : GatewayCounts)
    AllGateways += static_cast<double>(Count);
  auto Found = GatewayCounts.find(Domain);
  if (Found == GatewayCounts.end() || Found->second == 0 || Of.Total == 0)
    return 1;
  auto InDomain = Of.InDomain.find(Domain);
  double DomainTargets =
      InDomain == Of.InDomain.end() ? 0 : static_cast<double>(InDomain->second);
  // Targets per gateway of this domain, relative to those of the fleet; may
  // exceed 1.
  double TargetRatio = (DomainTargets / static_cast<double>(Found->second)) /
                       (static_cast<double>(Of.Total) / AllGateways);
  return std::max(Settings.MinRemoteWeight,
                  1 - (1 - Settings.MinRemoteWeight) * TargetRatio);
}

double LoadBalancer::gatewayShare(const Target &T) const {
  auto [Known, IsNew] =
      GatewayShares.try_emplace({T.Info.Service, T.Info.FailureDomain}, 0.0);
  if (IsNew)
    Known->second = computeGatewayShare(T);
  return Known->second;
}

double LoadBalancer::computeGatewayShare(const Target &T) const {
  TargetCounts OfService = countTargets(T.Info.Service);
  auto Weight = [&](const core::FailureDomainId &Domain) {
    return Domain == T.Info.FailureDomain
               ? 1.0
               : remoteDomainWeight(Domain, OfService);
  };
  double All = 0;
  for (const auto &[Domain, Count] : GatewayCounts)
    All += Weight(Domain) * static_cast<double>(Count);
  double Mine = Weight(Settings.OwnDomain);
  return Mine / std::max(All, Mine);
}

double LoadBalancer::shareFactor(const ServiceState &Of, core::BootTime Now) {
  double Largest = 1 / std::max(Of.wantsPlace(Now), 1 / MaxShareFactor);
  return std::clamp(EnoughPlaces / std::max(Of.Places, 0.01), 1.0, Largest);
}

void LoadBalancer::assignQuota(Target &T, core::BootTime Now,
                               double Random) const {
  double Requests = static_cast<double>(T.Load.Running) + T.Load.Waiting;
  double Free = capacity(T) - Requests;
  double Prompts = Settings.EngineWaiting;
  if (hasTimings(T) && T.Of->ShortestObjective.count() > 0) {
    EngineTimings Timings = T.Of->timings();
    FractionalMs Objective = T.Of->ShortestObjective;
    double Slowness = slownessOf(T, Now);
    double Queue = queueWithin(Timings, T.Info.Slots, Slowness, Objective);
    Free = T.Info.Slots + std::min(Settings.EngineQueue, Queue) - Requests;
    Prompts = std::min(
        Prompts, promptsWithin(Timings, T.Info.Slots, Slowness, Objective));
    Prompts = std::max(Prompts, 1.0);
  }
  if (T.Engine)
    Free = std::min(Free, Prompts - T.Load.Waiting);
  T.FreePlaces = std::max(0.0, Free);
  T.FreeSlots = T.Info.Slots - Requests;
  T.QuotaShare = ownShare(T);
  T.QuotaRandom = Random;
  if (hasTimings(T)) {
    T.QuotaShare = std::min(1.0, T.QuotaShare * shareFactor(*T.Of, Now));
    countPlaces(T);
  }
  T.RemainingQuota =
      static_cast<std::uint32_t>(T.FreePlaces * T.QuotaShare + Random);
  T.SpillQuota = spillQuota(T, Random);
}

void LoadBalancer::countPlaces(Target &T) const {
  double Places = T.FreePlaces * gatewayShare(T);
  T.Of->Places += Places - T.CountedPlaces;
  T.CountedPlaces = Places;
}

std::uint32_t LoadBalancer::reserveAt(const Target &T, std::uint32_t Priority) {
  const ServiceState &Of = *T.Of;
  std::uint32_t Reserve = 0;
  for (const auto &[MoreUrgent, Objective] : Of.ObjectiveByPriority) {
    if (MoreUrgent >= Priority)
      break;
    auto Seen = Of.SeenByPriority.find(MoreUrgent);
    double Share = Seen == Of.SeenByPriority.end() || Of.Seen <= 0
                       ? 0
                       : Seen->second / Of.Seen;
    if (Share >= MinUrgentShare)
      Reserve += urgentReserve(Of.timings(), T.Info.Slots, Share, Objective);
  }
  return std::min(Reserve, mostReserved(T.Info.Slots));
}

bool LoadBalancer::hasUnreservedPlace(const Target &T,
                                      const TargetRequirements &Demand,
                                      core::BootTime Now) const {
  std::uint32_t Reserve = reserveAt(T, Demand.Priority);
  if (Reserve == 0)
    return true;
  if (estimatedLoad(T, Now) + 1 > T.Info.Slots - Reserve)
    return false;
  if (!hasFreshReport(T, Now))
    return true;
  double Places = std::clamp(T.FreeSlots - Reserve, 0.0, T.FreePlaces);
  return static_cast<std::uint32_t>(Places * T.QuotaShare + T.QuotaRandom) >
         T.SentSinceReport;
}

} // namespace rosemarylane::serving
