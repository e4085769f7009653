#include "serving/LoadBalancer.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace rosemarylane::serving {

namespace {

/// Factor by which first events often come later than expected: slots come free
/// irregularly, and requests arrive unseen.
constexpr double FirstEventMargin = 4.0 / 3;
/// Score of a target that has as many requests as slots.
constexpr double PointsOfAllSlots = 16;

} // namespace

LoadBalancer::LoadBalancer(LoadBalancerSettings Settings)
    : Settings(std::move(Settings)) {
  if (this->Settings.Spill)
    Spill.emplace(*this->Settings.Spill);
}

void LoadBalancer::setRegistered(
    const std::vector<RegisteredTarget> &Registered,
    const ServingConfig &Config, core::BootTime Now) {
  updateServices(Config);
  std::map<TargetId, Target> Next;
  for (const RegisteredTarget &Info : Registered) {
    Target T;
    auto Known = Targets.find(Info.Id);
    if (Known != Targets.end() &&
        Known->second.Info.StartTimeMs == Info.StartTimeMs &&
        Known->second.Info.Address == Info.Address)
      T = std::move(Known->second);
    bool WarmupChanged = Info.WarmupRemaining != T.Info.WarmupRemaining;
    std::vector<LoadedModel> AgentModels = std::move(T.Info.Models);
    T.Info = Info;
    if (T.AgentHeard)
      T.Info.Models = std::move(AgentModels);
    if (WarmupChanged)
      T.ColdUntil = std::max(T.ColdUntil, Now + Info.WarmupRemaining);
    if (const Service *S = Config.service(Info.Service)) {
      T.Engine = S->Engine.has_value();
      T.WarmupRate = S->WarmupRate;
    }
    auto Of = Services.find(Info.Service);
    T.Of = Of == Services.end() ? nullptr : &Of->second;
    Next.emplace(Info.Id, std::move(T));
    Statements.mention(Info.incarnation(), Now);
    if (Info.Draining)
      recordLeaving(Info.incarnation(), StatementSource::Registry, Now);
  }
  Targets = std::move(Next);
  for (auto &[Name, State] : Services)
    State.Places = 0;
  for (auto &[Id, T] : Targets)
    if (T.Of)
      T.Of->Places += T.CountedPlaces;
  indexAddresses();
  resetGatewayShares();
  Statements.forgetUnmentioned(Now);
  markSuperseded(Config);
}

void LoadBalancer::updateServices(const ServingConfig &Config) {
  for (const Service &S : Config.Services)
    Services[S.Name];
  for (auto &Entry : Services)
    Entry.second.configure(Entry.first, Config);
}

/// Marks targets whose address is used by a later incarnation. A restarted
/// target usually has a new id, and the entry of its earlier incarnation stays
/// in the registry until its lease expires. A target of a service that is not
/// configured does not supersede others, but may be superseded itself.
void LoadBalancer::markSuperseded(const ServingConfig &Config) {
  std::map<std::string_view, std::int64_t> Newest;
  for (const auto &[Id, T] : Targets) {
    if (!Config.service(T.Info.Service))
      continue;
    std::int64_t &StartTimeMs = Newest[T.Info.Address];
    StartTimeMs = std::max(StartTimeMs, T.Info.StartTimeMs);
  }
  // A target that restarted while its clock was set back appears to be the
  // earlier one, until the other entry ends.
  for (auto &[Id, T] : Targets)
    T.LaterRegistered =
        T.Info.StartTimeMs != 0 && T.Info.StartTimeMs < Newest[T.Info.Address];
}

void LoadBalancer::indexAddresses() {
  TargetsAt.clear();
  for (auto &[Id, T] : Targets)
    TargetsAt[T.Info.Address].push_back(&T);
}

void LoadBalancer::setEvacuated(std::set<core::FailureDomainId> Domains) {
  Evacuated = std::move(Domains);
  resetGatewayShares();
}

void LoadBalancer::setNamedVersion(const std::string &Model,
                                   std::uint64_t Version,
                                   core::BootTime Deadline) {
  std::vector<NamedVersion> &List = Named[Model];
  if (List.empty() || Version > List.back().Version)
    List.push_back({Version, Deadline});
  else if (Version == List.back().Version)
    List.back().Deadline = std::max(List.back().Deadline, Deadline);
}

void LoadBalancer::setGatewayCount(
    std::map<core::FailureDomainId, std::size_t> InDomain) {
  if (InDomain != GatewayCounts)
    resetGatewayShares();
  GatewayCounts = std::move(InDomain);
}

void LoadBalancer::setGateways(std::string OwnName,
                               std::vector<std::string> Names) {
  if (OwnName == Self && Names == GatewayNames)
    return;
  Self = std::move(OwnName);
  GatewayNames = std::move(Names);
  for (auto &[Id, T] : Targets)
    if (T.Limit.saidAt() != core::BootTime())
      T.Limit.setGateways(T.Info.Address, Self, GatewayNames);
}

bool LoadBalancer::updateNamedLimit(const std::string &Address,
                                    std::int64_t StartTimeMs,
                                    std::optional<double> PerSecond,
                                    core::BootTime SaidAt) {
  bool Changed = false;
  for (auto &[Id, T] : Targets) {
    bool Same = T.Info.Address == Address &&
                (StartTimeMs == 0 || T.Info.StartTimeMs == 0 ||
                 T.Info.StartTimeMs == StartTimeMs);
    if (!Same)
      continue;
    Changed |= T.Limit.update(PerSecond, SaidAt);
    if (Changed)
      T.Limit.setGateways(Address, Self, GatewayNames);
  }
  return Changed;
}

bool LoadBalancer::hasFreshReport(const Target &T, core::BootTime Now) const {
  return T.LoadFromAgent && T.LoadReportedAt &&
         Now - *T.LoadReportedAt < Settings.ReportTtl;
}

void LoadBalancer::updateFromReport(const AgentReport &Report,
                                    core::BootTime Now, double Random) {
  auto At = TargetsAt.find(Report.Address);
  if (At == TargetsAt.end())
    return;
  for (Target *Known : At->second) {
    Target &T = *Known;
    if (T.Info.StartTimeMs != 0 && Report.StartTimeMs != 0 &&
        T.Info.StartTimeMs != Report.StartTimeMs) {
      T.Superseded |= T.Info.StartTimeMs < Report.StartTimeMs;
      continue;
    }
    if (Report.Leaving && Report.StartTimeMs != 0 && T.Info.StartTimeMs != 0)
      recordLeaving(T.Info.incarnation(), StatementSource::Sidecar, Now);
    T.Load = Report.Load;
    T.LoadReportedAt = Now;
    T.LoadFromAgent = true;
    T.AgentHeard = Now;
    T.InFlightAtReport = T.InFlight;
    T.SentSinceReport = 0;
    T.TokensSentSinceReport = 0;
    T.Slowness = Report.Load.Slowness;
    T.SlownessAt = Now;
    refreshSpill(Now);
    assignQuota(T, Now, Random);
    T.Switching = Report.Switching;
    T.SwitchAt.reset();
    if (Report.TimeToSwitch.count() > 0)
      T.SwitchAt = Now + Report.TimeToSwitch;
    T.Info.Models = Report.Models;
  }
}

void LoadBalancer::recordSlowness(const TargetId &Id, double Slowness,
                                  core::BootTime Now) {
  auto Found = Targets.find(Id);
  if (Found == Targets.end())
    return;
  Target &T = Found->second;
  T.Slowness = Slowness;
  T.SlownessAt = Now;
  if (T.Of)
    T.Of->StatesSpeed = true;
}

EngineLoad LoadBalancer::engineLoad(const Target &T, core::BootTime Now) const {
  EngineLoad Result;
  Result.Slots = T.Info.Slots;
  double Requests = estimatedLoad(T, Now);
  Result.Waiting = std::min(estimatedWaiting(T, Now), Requests);
  Result.Running = Requests - Result.Waiting;
  double OthersWaiting = std::max(0.0, Result.Waiting - T.SentSinceReport);
  Result.WaitingTokens =
      OthersWaiting * T.Of->timings().UsualPrompt + T.TokensSentSinceReport;
  Result.Slowness = slownessOf(T, Now);
  return Result;
}

std::optional<FractionalMs>
LoadBalancer::expectedFirstEventAt(const Target &T,
                                   const TargetRequirements &Demand,
                                   core::BootTime Now) const {
  if (!hasTimings(T))
    return std::nullopt;
  EngineTimings Timings = T.Of->timings();
  auto Prompt = Demand.PromptTokens > 0
                    ? Demand.PromptTokens
                    : static_cast<std::uint32_t>(Timings.UsualPrompt);
  return expectedFirstEvent(Timings, engineLoad(T, Now), Prompt);
}

bool LoadBalancer::hasRoomFor(const Target &T, const TargetRequirements &Demand,
                              std::optional<FractionalMs> FirstEvent,
                              core::BootTime Now) const {
  if (!FirstEvent)
    return true;
  double Requests = estimatedLoad(T, Now);
  if (!hasUnreservedPlace(T, Demand, Now))
    return false;
  FractionalMs Left =
      Demand.ObjectiveLeft - (Now - Demand.ObjectiveAsOf.value_or(Now));
  if (Demand.ObjectiveLeft.count() == 0 || Left <= FractionalMs(0))
    return true;
  // Nothing better can be hoped for than a free slot and no prompt ahead.
  bool IsUnhindered = estimatedWaiting(T, Now) == 0 && Requests < T.Info.Slots;
  return IsUnhindered || *FirstEvent * FirstEventMargin <= Left;
}

void LoadBalancer::updateLoad(const TargetId &Id, LoadReport Load,
                              core::BootTime Now) {
  auto Found = Targets.find(Id);
  if (Found == Targets.end())
    return;
  Target &T = Found->second;
  if (hasFreshReport(T, Now))
    return;
  Load.KvCacheUsedFraction = T.Load.KvCacheUsedFraction;
  T.Load = Load;
  T.LoadReportedAt = Now;
  T.LoadFromAgent = false;
  T.InFlightAtReport = T.InFlight;
}

void LoadBalancer::updateWarmup(const TargetId &Id,
                                std::chrono::milliseconds Left,
                                core::BootTime Now) {
  auto Found = Targets.find(Id);
  if (Found != Targets.end())
    Found->second.ColdUntil = Now + Left;
}

void LoadBalancer::recordResponseTime(const TargetId &Id,
                                      std::chrono::milliseconds ResponseTime,
                                      core::BootTime Now) {
  auto Found = Targets.find(Id);
  if (Found == Targets.end())
    return;
  // Average of the decayed value and the new sample.
  Target &T = Found->second;
  double Excess = std::max<double>(
      0, static_cast<double>(
             (ResponseTime - Settings.BaselineResponseTime).count()));
  T.ExcessMs = (excessResponseMs(T, Now) + Excess) / 2;
  T.ExcessUpdatedAt = Now;
}

bool LoadBalancer::isAgentSilent(const Target &T, core::BootTime Now) const {
  return T.AgentHeard && Now - *T.AgentHeard > Settings.AgentTimeout;
}

double LoadBalancer::agentSilencePenalty(const Target &T,
                                         core::BootTime Now) const {
  return isAgentSilent(T, Now) ? Settings.AgentSilencePenalty : 0;
}

double LoadBalancer::excessResponseMs(const Target &T,
                                      core::BootTime Now) const {
  if (T.ExcessMs <= 0)
    return 0;
  double HalfLives = std::chrono::duration<double>(Now - T.ExcessUpdatedAt) /
                     std::chrono::duration<double>(Settings.ResponseHalfLife);
  return T.ExcessMs * std::exp2(-HalfLives);
}

bool LoadBalancer::finishesBeforeSwitch(const Target &T,
                                        const TargetRequirements &Demand,
                                        core::BootTime Now) const {
  return !T.SwitchAt ||
         Now + Demand.ExpectedDuration <= *T.SwitchAt + Settings.SwitchSlack;
}

double LoadBalancer::estimatedLoad(const Target &T, core::BootTime Now) const {
  bool Known = T.LoadReportedAt && Now - *T.LoadReportedAt < Settings.ReportTtl;
  if (!Known)
    return T.InFlight;
  double Reported = T.Load.Running + T.Load.Waiting;
  double Since = static_cast<double>(T.InFlight) - T.InFlightAtReport;
  return std::max<double>(T.InFlight, Reported + Since);
}

double LoadBalancer::estimatedWaiting(const Target &T,
                                      core::BootTime Now) const {
  if (!T.Engine || !hasFreshReport(T, Now))
    return 0;
  return static_cast<double>(T.Load.Waiting) + T.SentSinceReport;
}

double LoadBalancer::capacity(const Target &T) const {
  double Queue =
      T.Engine ? Settings.EngineQueue : Settings.PlainQueueRatio * T.Info.Slots;
  return T.Info.Slots + Queue;
}

bool LoadBalancer::isEjected(const Target &T, core::BootTime Now) const {
  if (T.EjectionTime.count() == 0)
    return false;
  return Now < T.EjectedUntil || T.Probing;
}

std::uint64_t LoadBalancer::versionOf(const Target &T,
                                      std::string_view Model) const {
  for (const LoadedModel &M : T.Info.Models)
    if (M.Model == Model)
      return M.Version;
  return 0;
}

std::optional<core::BootTime>
LoadBalancer::startDeadline(const Target &T, std::string_view Model) const {
  auto Found = Named.find(Model);
  if (Found == Named.end())
    return std::nullopt;
  std::uint64_t Held = versionOf(T, Model);
  for (const NamedVersion &N : Found->second)
    if (Held < N.Version)
      return N.Deadline - Settings.StartMargin;
  return std::nullopt;
}

bool LoadBalancer::versionUsable(const Target &T,
                                 const TargetRequirements &Demand,
                                 core::BootTime Now) const {
  if (Demand.Model.empty() || !T.Engine || !T.Info.ReportsModels)
    return true;
  std::uint64_t Held = versionOf(T, Demand.Model);
  if (Held == 0)
    return false;
  if (Demand.ExactVersion != 0 && Held != Demand.ExactVersion)
    return false;
  auto Found = Named.find(Demand.Model);
  if (Found == Named.end())
    return true;
  return std::none_of(
      Found->second.begin(), Found->second.end(), [&](const NamedVersion &N) {
        return Held < N.Version && Now >= N.Deadline - Settings.VersionMargin;
      });
}

bool LoadBalancer::regionAllowed(const Target &T,
                                 const TargetRequirements &Demand) const {
  if (Demand.AllowedRegions.empty())
    return true;
  auto Found = Settings.RegionOf.find(T.Info.FailureDomain);
  if (Found == Settings.RegionOf.end())
    return false;
  return std::find(Demand.AllowedRegions.begin(), Demand.AllowedRegions.end(),
                   Found->second) != Demand.AllowedRegions.end();
}

bool LoadBalancer::acceptsWork(const Target &T,
                               std::string_view Service) const {
  if (T.Info.Service != Service || isLeaving(T.Info.incarnation()) ||
      T.Switching || T.Superseded || T.LaterRegistered)
    return false;
  return !Evacuated.contains(T.Info.FailureDomain);
}

bool LoadBalancer::takesRequests(Target &T, core::BootTime Now) {
  if (isEjected(T, Now))
    return false;
  bool SameDomain = T.Info.FailureDomain == Settings.OwnDomain;
  bool Cold = T.WarmupRate > 0 && Now < T.ColdUntil;
  if (Cold &&
      (!SameDomain || !T.Cold.canAcquire(T.WarmupRate, ColdSharers, Now)))
    return false;
  return T.Limit.canAcquire(Now);
}

bool LoadBalancer::hasRoom(Target &T, core::BootTime Now) {
  if (!takesRequests(T, Now))
    return false;
  if (estimatedLoad(T, Now) >= capacity(T) ||
      (hasFreshReport(T, Now) && T.RemainingQuota == 0))
    return false;
  return estimatedWaiting(T, Now) < Settings.EngineWaiting;
}

bool LoadBalancer::mayServe(const TargetRequirements &Demand,
                            core::BootTime Now) const {
  return std::any_of(Targets.begin(), Targets.end(), [&](const auto &Entry) {
    return isEligible(Entry.second, Demand, Now);
  });
}

bool LoadBalancer::hasRoom(std::string_view Service, core::BootTime Now) {
  return std::any_of(Targets.begin(), Targets.end(), [&](auto &Entry) {
    Target &T = Entry.second;
    return acceptsWork(T, Service) &&
           !Statements.pausedUntil(T.Info.incarnation(), Now) &&
           hasRoom(T, Now);
  });
}

bool LoadBalancer::isEligible(const Target &T, const TargetRequirements &Demand,
                              core::BootTime Now) const {
  if (!acceptsWork(T, Demand.Service))
    return false;
  if (!regionAllowed(T, Demand) || !versionUsable(T, Demand, Now))
    return false;
  if (!Demand.Tried)
    return true;
  return std::find(Demand.Tried->begin(), Demand.Tried->end(), T.Info.Id) ==
         Demand.Tried->end();
}

double LoadBalancer::fixedPoints(const Target &T, core::BootTime Now) const {
  return T.Load.KvCacheUsedFraction + agentSilencePenalty(T, Now) +
         excessResponseMs(T, Now) /
             static_cast<double>(Settings.ResponseTimePerPoint.count());
}

double LoadBalancer::score(const Target &T, const TargetRequirements &Demand,
                           std::optional<FractionalMs> FirstEvent,
                           core::BootTime Now) const {
  double PerRequest = PointsOfAllSlots / T.Info.Slots;
  if (FirstEvent) {
    EngineTimings Timings = T.Of->timings();
    FractionalMs PerPoint = readingTime(Timings, Timings.UsualPrompt) /
                            (PerRequest + Settings.WaitingPenalty);
    FractionalMs Elsewhere = domainSurcharge(T, Demand, PerPoint).Time;
    return (*FirstEvent + Elsewhere + PerPoint * fixedPoints(T, Now)).count();
  }
  // In points; 16 if all slots are in use (see LoadBalancerSettings).
  return estimatedLoad(T, Now) / T.Info.Slots * PointsOfAllSlots +
         Settings.WaitingPenalty * estimatedWaiting(T, Now) +
         domainSurcharge(T, Demand, FractionalMs(0)).Points +
         T.Load.KvCacheUsedFraction + agentSilencePenalty(T, Now) +
         excessResponseMs(T, Now) /
             static_cast<double>(Settings.ResponseTimePerPoint.count());
}

std::optional<SelectedTarget>
LoadBalancer::choose(const TargetRequirements &Demand, core::BootTime Now,
                     double Random, SelectionFailure &Why) {
  Why = SelectionFailure::Unavailable;
  Target *Best = nullptr;
  double BestScore = std::numeric_limits<double>::max();
  std::optional<FractionalMs> BestFirstEvent;
  std::size_t Ties = 1;
  Departure Leave = departure(Demand, Now);
  for (auto &[Id, T] : Targets) {
    if (!isEligible(T, Demand, Now))
      continue;
    if (Statements.pausedUntil(T.Info.incarnation(), Now)) {
      if (Why == SelectionFailure::Unavailable)
        Why = SelectionFailure::Paused;
      continue;
    }
    Why = SelectionFailure::Full;
    if (!hasRoom(T, Now) || !finishesBeforeSwitch(T, Demand, Now))
      continue;
    if (!mayLeaveFor(T, Leave, Now))
      continue;
    auto FirstEvent = expectedFirstEventAt(T, Demand, Now);
    if (!hasRoomFor(T, Demand, FirstEvent, Now))
      continue;
    double Score = score(T, Demand, FirstEvent, Now);
    // Breaks ties at random. All ties of a call share one random number: of two
    // equal targets each is selected with probability 1/2; of three, with 1/2,
    // 1/6 and 1/3 in their order.
    if (Score == BestScore)
      ++Ties;
    if (Score < BestScore ||
        (Score == BestScore && Random * static_cast<double>(Ties) < 1)) {
      if (Score < BestScore)
        Ties = 1;
      Best = &T;
      BestScore = Score;
      BestFirstEvent = FirstEvent;
    }
  }
  if (!Best)
    return std::nullopt;
  SelectedTarget Chosen = select(*Best, Demand, BestFirstEvent, Now);
  if (!Chosen.OwnDomain)
    Chosen.Leave = Leave.Reason;
  return Chosen;
}

SelectedTarget LoadBalancer::select(Target &T, const TargetRequirements &Demand,
                                    std::optional<FractionalMs> FirstEvent,
                                    core::BootTime Now) {
  if (T.WarmupRate > 0 && Now < T.ColdUntil)
    (void)T.Cold.tryAcquire(T.WarmupRate, ColdSharers, Now);
  T.Limit.acquire(Now);
  SelectedTarget Chosen;
  if (FirstEvent)
    Chosen.ExpectedFirstEvent =
        std::chrono::round<std::chrono::milliseconds>(*FirstEvent);
  Chosen.Id = T.Info.Id;
  Chosen.Address = T.Info.Address;
  Chosen.StartTimeMs = T.Info.StartTimeMs;
  Chosen.Version = versionOf(T, Demand.Model);
  Chosen.StartDeadline = startDeadline(T, Demand.Model);
  // A silent agent may have ordered a load that it did not live to prove.
  Chosen.VersionRequired = Demand.ExactVersion != 0 || isAgentSilent(T, Now);
  Chosen.Load = estimatedLoad(T, Now) / T.Info.Slots;
  Chosen.OwnDomain = T.Info.FailureDomain == Settings.OwnDomain;
  if (T.LoadReportedAt)
    Chosen.LoadAge = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now - *T.LoadReportedAt);
  if (T.EjectionTime.count() > 0)
    T.Probing = true;
  ++T.InFlight;
  ++T.SentSinceReport;
  T.TokensSentSinceReport += Demand.PromptTokens > 0 || !hasTimings(T)
                                 ? Demand.PromptTokens
                                 : T.Of->timings().UsualPrompt;
  if (T.RemainingQuota > 0)
    --T.RemainingQuota;
  if (T.SpillQuota > 0)
    --T.SpillQuota;
  return Chosen;
}

void LoadBalancer::recordLeaving(const TargetIncarnation &Target,
                                 StatementSource Source, core::BootTime Now) {
  bool IsNew = Statements.recordLeaving(Target, Now);
  if (IsNew)
    resetGatewayShares();
  if (IsNew && Observers.OnLeaving)
    Observers.OnLeaving(Target, Source);
}

void LoadBalancer::recordPause(const TargetIncarnation &Target,
                               std::chrono::milliseconds Duration,
                               core::BootTime Now) {
  bool Begins = Statements.recordPause(Target, Duration, Now);
  if (Begins && Observers.OnPaused)
    Observers.OnPaused(Target, Duration);
}

bool LoadBalancer::maySend(const SelectedTarget &Chosen,
                           TargetRequirements Demand,
                           core::BootTime Now) const {
  auto Found = Targets.find(Chosen.Id);
  if (Found == Targets.end())
    return false;
  const Target &T = Found->second;
  if (T.Info.incarnation() != Chosen.incarnation() ||
      T.Info.Address != Chosen.Address)
    return false;
  Demand.Tried = nullptr;
  return isEligible(T, Demand, Now) &&
         !Statements.pausedUntil(T.Info.incarnation(), Now);
}

std::optional<core::BootTime>
LoadBalancer::allPausedUntil(const TargetRequirements &Demand,
                             core::BootTime Now) const {
  std::optional<core::BootTime> Earliest;
  for (const auto &[Id, T] : Targets) {
    if (!isEligible(T, Demand, Now))
      continue;
    auto Until = Statements.pausedUntil(T.Info.incarnation(), Now);
    if (!Until)
      return std::nullopt;
    if (!Earliest || *Until < *Earliest)
      Earliest = Until;
  }
  return Earliest;
}

void LoadBalancer::eject(Target &T, core::BootTime Now) {
  T.EjectionTime = T.EjectionTime.count() == 0
                       ? Settings.InitialEjectionTime
                       : std::min(T.EjectionTime * 2, Settings.MaxEjectionTime);
  T.EjectedUntil = Now + T.EjectionTime;
}

void LoadBalancer::recordResult(const TargetId &Id, TargetFeedback Outcome,
                                core::BootTime Now) {
  auto Found = Targets.find(Id);
  if (Found == Targets.end())
    return;
  Target &T = Found->second;
  if (T.InFlight > 0)
    --T.InFlight;
  T.Probing = false;
  switch (Outcome) {
  case TargetFeedback::Served:
    T.ConsecutiveFailures = 0;
    T.EjectionTime = std::chrono::milliseconds(0);
    break;
  case TargetFeedback::Abandoned:
    break;
  case TargetFeedback::Full:
    // The target itself has said until when.
    if (Statements.pausedUntil(T.Info.incarnation(), Now))
      break;
    // Trust the target over the estimate until the next report.
    T.Load.Running = T.Info.Slots;
    T.Load.Waiting = static_cast<std::uint32_t>(capacity(T)) - T.Info.Slots + 1;
    T.LoadReportedAt = Now;
    T.InFlightAtReport = T.InFlight;
    break;
  case TargetFeedback::Mismatch:
    eject(T, Now);
    break;
  case TargetFeedback::Failed:
    if (++T.ConsecutiveFailures >= Settings.FailuresToEject)
      eject(T, Now);
    break;
  case TargetFeedback::Broken:
  case TargetFeedback::Silent:
    ++T.ConsecutiveFailures;
    eject(T, Now);
    break;
  }
}

void LoadBalancer::recordSilence(const TargetId &Id, core::BootTime Now) {
  auto Found = Targets.find(Id);
  if (Found == Targets.end())
    return;
  ++Found->second.ConsecutiveFailures;
  eject(Found->second, Now);
}

bool LoadBalancer::isHealthy(const TargetId &Id, core::BootTime Now) const {
  auto Found = Targets.find(Id);
  return Found != Targets.end() &&
         !isLeaving(Found->second.Info.incarnation()) &&
         !isEjected(Found->second, Now);
}

} // namespace rosemarylane::serving
