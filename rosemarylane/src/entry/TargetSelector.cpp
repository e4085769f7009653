#include "entry/TargetSelector.h"

#include <algorithm>

namespace rosemarylane {

using routing::Member;
using routing::MemberRole;
using routing::Membership;
using routing::Router;

namespace {

/// Time for which a suspect request is not sent to an agent that was busy.
constexpr std::chrono::milliseconds SuspectWait{50};

prometheus::Family<prometheus::Counter> &
choices(prometheus::Registry &Metrics) {
  return prometheus::BuildCounter()
      .Name("rosemarylane_target_choices_total")
      .Help("Choices of a target, by how far away it is")
      .Register(Metrics);
}

} // namespace

TargetSelector::TargetSelector(const Settings &Own, const Membership &Members,
                               const routing::Quarantine &Suspects,
                               prometheus::Registry &Metrics)
    : Own(Own), Members(Members), Suspects(Suspects),
      Random(std::random_device{}()),
      Local(choices(Metrics).Add({{"target", "failure_domain"}})),
      SpilledToRegion(choices(Metrics).Add({{"target", "region"}})),
      SpilledToFleet(choices(Metrics).Add({{"target", "fleet"}})),
      NoTarget(choices(Metrics).Add({{"target", "none"}})) {}

std::optional<MembershipService::Choice>
TargetSelector::choose(const MembershipService::Wanted &Request,
                       const core::Configuration &Config, core::TimePoint Now) {
  using Status = routing::Quarantine::Status;
  Status RequestStatus = Suspects.statusOf(Request.Digest);
  if (RequestStatus == Status::Quarantined)
    return std::nullopt;
  bool Suspect = RequestStatus == Status::Suspect;
  auto From = candidates(Request, Config, Suspect, Now);
  std::vector<Router::Target> Targets;
  Targets.reserve(From.size());
  for (const Candidate &C : From)
    Targets.push_back(targetOf(C, Request.Class));
  auto Picked = Suspect
                    ? TargetRouter.chooseForSuspect(
                          Targets, std::hash<core::Digest>()(Request.Digest))
                    : TargetRouter.choose(Targets, Request.PrefixHash, Now,
                                    [this] { return Random(); });
  // A suspect is always sent to the same target, and waits for it.
  if (Picked && Suspect && mustWaitFor(From[*Picked].Of->Host, Now))
    Picked.reset();
  if (!Picked) {
    NoTarget.Increment();
    return std::nullopt;
  }
  count(Targets[*Picked].Proximity);
  const Member &To = *From[*Picked].Of;
  TargetRouter.started(To.Host);
  return MembershipService::Choice{.Agent = To.Host,
                                   .AgentAddress = To.PeerAddress,
                                   .AgentIncarnation = To.Incarnation,
                                   .AgentTime = To.Uptime,
                                   .FailureDomain = To.FailureDomain,
                                   .Version = From[*Picked].Held->Version,
                                   .Suspect = Suspect};
}

std::vector<TargetSelector::Candidate>
TargetSelector::candidates(const MembershipService::Wanted &Request,
                           const core::Configuration &Config, bool Suspect,
                           core::TimePoint Now) const {
  std::vector<Candidate> Found;
  for (const auto &[Who, Known] : Members.records()) {
    const Member &M = Known.What;
    if (M.Role != MemberRole::Agent || M.Draining ||
        Members.state(Known, Now) != Membership::State::Alive ||
        Config.isOutOfService(M.Host, M.FailureDomain))
      continue;
    // A suspect is always sent to the same target, even if that is busy.
    if (!Suspect && Request.Excluded.contains(M.Host))
      continue;
    auto Held = std::find_if(M.Holdings.begin(), M.Holdings.end(),
                             [&](const routing::Holding &H) {
                               return H.Entry == Request.Entry && H.Serving;
                             });
    if (Held != M.Holdings.end())
      Found.push_back({&M, &*Held});
  }
  return Found;
}

Router::Target TargetSelector::targetOf(const Candidate &Agent,
                                        core::TrafficClass Class) const {
  const routing::Load &AgentLoad = Agent.Held->TargetLoad;
  Router::Target T;
  T.Host = Agent.Of->Host;
  T.Proximity = Agent.Of->FailureDomain == Own.FailureDomain
                    ? Router::Distance::FailureDomain
                : Agent.Of->Region == Own.Region ? Router::Distance::Region
                                                : Router::Distance::Fleet;
  T.Slots = AgentLoad.Credits;
  T.Credits = std::max(AgentLoad.Credits,
                       AgentLoad.ClassCapacity[static_cast<std::size_t>(Class)]);
  T.InProgress = AgentLoad.InProgress;
  T.Waiting = AgentLoad.Waiting;
  T.Latency = AgentLoad.Latency;
  return T;
}

void TargetSelector::finished(const core::HostId &Agent,
                              const MembershipService::Finish &How,
                              core::TimePoint Now) {
  using Kind = MembershipService::Finish::Kind;
  Router::Outcome Outcome = Router::Outcome::Abandoned;
  if (How.What == Kind::Answered && How.TimeToFirstByte.count() > 0)
    Outcome = Router::Outcome::Answered;
  else if (How.What == Kind::Lost || How.Reason == wire::REFUSAL_TARGET_FAILED)
    Outcome = Router::Outcome::Failed;
  else if (How.What == Kind::Refused && How.Reason == wire::REFUSAL_BUSY)
    Outcome = Router::Outcome::Busy;
  if (Outcome == Router::Outcome::Busy)
    SuspectsWaitUntil[Agent] = Now + SuspectWait;
  TargetRouter.finished(Agent, Outcome, How.TimeToFirstByte, Now);
}

bool TargetSelector::mustWaitFor(const core::HostId &Agent,
                                 core::TimePoint Now) const {
  auto Found = SuspectsWaitUntil.find(Agent);
  return Found != SuspectsWaitUntil.end() && Found->second > Now;
}

void TargetSelector::forgetOthers() {
  std::erase_if(SuspectsWaitUntil, [this](const auto &Item) {
    return !Members.find({MemberRole::Agent, Item.first});
  });
  TargetRouter.forgetTargets([this](const core::HostId &Host) {
    return !Members.find({MemberRole::Agent, Host});
  });
}

void TargetSelector::count(Router::Distance Proximity) {
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
