#ifndef ROSEMARYLANE_ENTRY_TARGET_SELECTOR_H
#define ROSEMARYLANE_ENTRY_TARGET_SELECTOR_H

#include "common/Settings.h"
#include "core/Catalogue.h"
#include "core/Time.h"
#include "entry/MembershipService.h"
#include "routing/Membership.h"
#include "routing/Quarantine.h"
#include "routing/Router.h"

#include <map>
#include <optional>
#include <prometheus/counter.h>
#include <prometheus/registry.h>
#include <random>
#include <vector>

namespace rosemarylane {

/// Chooses targets among the agents that serve a catalogue entry and are not
/// out of service.
///
/// The settings, the membership and the quarantine must outlive the selector.
/// Use it on the control duty only.
class TargetSelector {
public:
  TargetSelector(const Settings &OwnSettings,
                 const routing::Membership &Members,
                 const routing::Quarantine &SuspectRequests,
                 prometheus::Registry &Metrics);

  /// @see MembershipService::choose
  std::optional<MembershipService::Choice>
  choose(const MembershipService::TargetRequest &Request,
         const core::Configuration &Config, core::TimePoint Now);

  /// @see MembershipService::finished
  void finished(const core::HostId &Agent,
                const MembershipService::AttemptReport &Report,
                core::TimePoint Now);

  /// Records that a newer load report of the agent is in the membership.
  void reported(const core::HostId &Agent) { TargetRouter.reported(Agent); }

  /// Drops the state of agents that are no longer members.
  void removeDepartedAgents();

private:
  struct Candidate {
    const routing::Member *AgentMember;
    const routing::Holding *ServedHolding;
  };

  std::vector<Candidate>
  candidates(const MembershipService::TargetRequest &Request,
             const core::Configuration &Config, bool Suspect,
             core::TimePoint Now) const;
  routing::Router::Target targetOf(const Candidate &Agent,
                                   core::TrafficClass Class) const;
  bool mustWaitForAgent(const core::HostId &Agent, core::TimePoint Now) const;
  void countChoice(routing::Router::Distance Proximity);

  const Settings &OwnSettings;
  const routing::Membership &Members;
  const routing::Quarantine &SuspectRequests;
  routing::Router TargetRouter;
  /// Time until which suspect requests wait for an agent that was busy.
  std::map<core::HostId, core::TimePoint> SuspectRetryAt;
  std::mt19937_64 Random;
  prometheus::Counter &Local;
  prometheus::Counter &SpilledToRegion;
  prometheus::Counter &SpilledToFleet;
  prometheus::Counter &NoTarget;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_TARGET_SELECTOR_H
