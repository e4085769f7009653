#include "entry/TargetSelector.h"

#include <algorithm>

namespace rosemarylane {

using routing::Member;
using routing::MemberRole;
using routing::Membership;
using routing::Router;

namespace {

/// Time for which a suspect request is not sent to an agent that was busy.
constexpr std::chrono::milliseconds SuspectRetryDelay{50};

prometheus::Family<prometheus::Counter> &
choiceCounters(prometheus::Registry &Metrics) {
  return prometheus::BuildCounter()
      .Name("rosemarylane_target_choices_total")
      .Help("Choices of a target, by how far away it is")
      .Register(Metrics);
}

} // namespace

TargetSelector::TargetSelector(const Settings &OwnSettings,
                               const Membership &Members,
                               const routing::Quarantine &SuspectRequests,
                               prometheus::Registry &Metrics)
    : OwnSettings(OwnSettings), Members(Members),
      SuspectRequests(SuspectRequests), Random(std::random_device{}()),
      Local(choiceCounters(Metrics).Add({{"target", "failure_domain"}})),
      SpilledToRegion(choiceCounters(Metrics).Add({{"target", "region"}})),
      SpilledToFleet(choiceCounters(Metrics).Add({{"target", "fleet"}})),
      NoTarget(choiceCounters(Metrics).Add({{"target", "none"}})) {}

std::optional<MembershipService::Choice>
TargetSelector::choose(const MembershipService::TargetRequest &Request,
                       const core::Configuration &Config, core::TimePoint Now) {
  using Status = routing::Quarantine::Status;
  Status RequestStatus = SuspectRequests.statusOf(Request.Digest);
  if (RequestStatus == Status::Quarantined)
    return std::nullopt;
  bool Suspect = RequestStatus == Status::Suspect;
  auto Candidates = candidates(Request, Config, Suspect, Now);
  std::vector<Router::Target> Targets;
  Targets.reserve(Candidates.size());
  for (const Candidate &C : Candidates)
    Targets.push_back(targetOf(C, Request.Class));
  auto Selected = Suspect
                      ? TargetRouter.chooseForSuspect(
                            Targets, std::hash<core::Digest>()(Request.Digest))
                      : TargetRouter.choose(Targets, Request.PrefixHash, Now,
                                            [this] { return Random(); });
  // A suspect is always sent to the same target, and waits for it.
  if (Selected && Suspect &&
      mustWaitForAgent(Candidates[*Selected].AgentMember->Host, Now))
    Selected.reset();
  if (!Selected) {
    NoTarget.Increment();
    return std::nullopt;
  }
  countChoice(Targets[*Selected].Proximity);
  const Member &Chosen = *Candidates[*Selected].AgentMember;
  TargetRouter.started(Chosen.Host);
  return MembershipService::Choice{
      .Agent = Chosen.Host,
      .AgentAddress = Chosen.PeerAddress,
      .AgentIncarnation = Chosen.Incarnation,
      .AgentTime = Chosen.Uptime,
      .FailureDomain = Chosen.FailureDomain,
      .Version = Candidates[*Selected].ServedHolding->Version,
      .Suspect = Suspect};
}

std::vector<TargetSelector::Candidate>
TargetSelector::candidates(const MembershipService::TargetRequest &Request,
                           const core::Configuration &Config, bool Suspect,
                           core::TimePoint Now) const {
  std::vector<Candidate> Found;
  for (const auto &[MemberKey, Known] : Members.records()) {
    const Member &M = Known.What;
    if (M.Role != MemberRole::Agent || M.Draining ||
        Members.state(Known, Now) != Membership::State::Alive ||
        Config.isOutOfService(M.Host, M.FailureDomain))
      continue;
    // A suspect is always sent to the same target, even if that is busy.
    if (!Suspect && Request.Excluded.contains(M.Host))
      continue;
    auto ServedHolding = std::find_if(
        M.Holdings.begin(), M.Holdings.end(), [&](const routing::Holding &H) {
          return H.Entry == Request.Entry && H.Serving;
        });
    if (ServedHolding != M.Holdings.end())
      Found.push_back({&M, &*ServedHolding});
  }
  return Found;
}

Router::Target TargetSelector::targetOf(const Candidate &Agent,
                                        core::TrafficClass Class) const {
  const routing::Load &AgentLoad = Agent.ServedHolding->TargetLoad;
  Router::Target T;
  T.Host = Agent.AgentMember->Host;
  T.Proximity = Agent.AgentMember->FailureDomain == OwnSettings.FailureDomain
                    ? Router::Distance::FailureDomain
                : Agent.AgentMember->Region == OwnSettings.Region
                    ? Router::Distance::Region
                    : Router::Distance::Fleet;
  T.Slots = AgentLoad.Credits;
  T.Credits =
      std::max(AgentLoad.Credits,
               AgentLoad.ClassCapacity[static_cast<std::size_t>(Class)]);
  T.InProgress = AgentLoad.InProgress;
  T.Waiting = AgentLoad.Waiting;
  T.Latency = AgentLoad.Latency;
  return T;
}

void TargetSelector::finished(const core::HostId &Agent,
                              const MembershipService::AttemptReport &Report,
                              core::TimePoint Now) {
  using Kind = MembershipService::AttemptReport::Kind;
  Router::Outcome Outcome = Router::Outcome::Abandoned;
  if (Report.Type == Kind::Answered && Report.TimeToFirstByte.count() > 0)
    Outcome = Router::Outcome::Answered;
  else if (Report.Type == Kind::Lost ||
           Report.Reason == wire::REFUSAL_TARGET_FAILED)
    Outcome = Router::Outcome::Failed;
  else if (Report.Type == Kind::Refused && Report.Reason == wire::REFUSAL_BUSY)
    Outcome = Router::Outcome::Busy;
  if (Outcome == Router::Outcome::Busy)
    SuspectRetryAt[Agent] = Now + SuspectRetryDelay;
  TargetRouter.finished(Agent, Outcome, Report.TimeToFirstByte, Now);
}

bool TargetSelector::mustWaitForAgent(const core::HostId &Agent,
                                      core::TimePoint Now) const {
  auto Found = SuspectRetryAt.find(Agent);
  return Found != SuspectRetryAt.end() && Found->second > Now;
}

void TargetSelector::removeDepartedAgents() {
  std::erase_if(SuspectRetryAt, [this](const auto &Item) {
    return !Members.find({MemberRole::Agent, Item.first});
  });
  TargetRouter.forgetTargets([this](const core::HostId &Host) {
    return !Members.find({MemberRole::Agent, Host});
  });
}

void TargetSelector::countChoice(Router::Distance Proximity) {
  switch (Proximity) {
  case Router::Distance::FailureDomain:
    return Local.Increment();
  case Router::Distance::Region:
    return SpilledToRegion.Increment();
  case Router::Distance::Fleet:
    return SpilledToFleet.Increment();
  }
}

} // namespace rosemarylane
