#ifndef ROSEMARYLANE_SERVING_LOAD_BALANCER_H
#define ROSEMARYLANE_SERVING_LOAD_BALANCER_H

#include "core/BootClock.h"
#include "core/Ids.h"
#include "serving/AgentReport.h"
#include "serving/DomainSpill.h"
#include "serving/EngineModel.h"
#include "serving/LoadBalancerSettings.h"
#include "serving/NamedLimit.h"
#include "serving/RateShare.h"
#include "serving/RegisteredTarget.h"
#include "serving/ServingConfig.h"
#include "serving/TargetSelection.h"
#include "serving/TargetStatements.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rosemarylane::serving {

/// Tracks the targets known to one gateway and selects a target for each
/// request.
///
/// Made for a fleet in which about nine tenths of the engines' slots are in use
/// and gateways don't see each other's requests. Targets start cold, switch
/// versions, or fail while they look healthy. The load of each target is its
/// last report, plus the requests that this process has sent to it since, minus
/// those that it has seen end since. The target with the lowest score among
/// those that can take the request is selected; one in another failure domain
/// only if it is better by `RemotePenalty`. Each gateway takes its share of the
/// slots that a report shows free, rounded at random, so that all gateways
/// together fill a target instead of all sending to the same free slot. An
/// engine that has just loaded shows all its slots free, but is still given
/// only a few prompts at a time, because it processes them one after the other.
///
/// A gateway owns one instance for its lifetime and feeds it with
/// registrations, agents' reports and the results of its own requests. Every
/// `choose` that returned a target is followed by a `recordResult`. Has no
/// clock of its own: the time is passed with each call. Not thread-safe.
class LoadBalancer {
public:
  /// Called when something new becomes known. They must not call the load
  /// balancer.
  struct Hooks {
    /// A target is first known to be leaving.
    std::function<void(const TargetIncarnation &, StatementSource)> OnLeaving;
    /// A target wants no requests for a while, and did not say so before.
    std::function<void(const TargetIncarnation &, std::chrono::milliseconds)>
        OnPaused;
  };

  explicit LoadBalancer(LoadBalancerSettings Settings);
  LoadBalancer(LoadBalancer &&) = default;
  LoadBalancer(const LoadBalancer &) = delete;
  LoadBalancer &operator=(const LoadBalancer &) = delete;

  void setHooks(Hooks ToCall) { Observers = std::move(ToCall); }

  /// Sets the hook of `DomainSpill`; it must not call the load balancer.
  void onDomainPressure(DomainSpill::PressureHook Hook) {
    if (Spill)
      Spill->onPressure(std::move(Hook));
  }

  /// @return see `DomainSpill::pressure`; 0 while its decisions don't apply.
  double domainPressure(std::string_view Service) const {
    return Spill && Spill->isActive(Service) ? Spill->pressure(Service) : 0;
  }

  /// Replaces the registered targets. All state of targets that are no longer
  /// registered, or are registered with another start time or address, is
  /// dropped, apart from what they have said of themselves. Models that an
  /// agent has reported go before those that are registered.
  void setRegistered(const std::vector<RegisteredTarget> &Registered,
                     const ServingConfig &Config, core::BootTime Now);

  /// Sets the failure domains whose targets get no new requests.
  void setEvacuated(std::set<core::FailureDomainId> Domains);

  /// Records the newest version of \p Model that operators have named, that is
  /// written to the store as the one to serve. Targets with an older version
  /// get no new requests from `VersionMargin` before \p Deadline; versions
  /// named earlier keep their own deadlines. A later deadline for the same
  /// version replaces the earlier one, because a peer may know better when the
  /// version was named.
  void setNamedVersion(const std::string &Model, std::uint64_t Version,
                       core::BootTime Deadline);

  /// Sets the number of gateways in each failure domain, this one included.
  void setGatewayCount(std::map<core::FailureDomainId, std::size_t> InDomain);

  /// Sets the number of gateways of this failure domain that may be sending to
  /// its cold targets, this one included.
  void setColdSharers(std::size_t Gateways) {
    ColdSharers = std::max<std::size_t>(Gateways, 1);
  }

  /// Sets the names of the gateways that may be sending, this one included.
  void setGateways(std::string Self, std::vector<std::string> Names);

  /// Takes what the target at \p Address has said of the requests a second that
  /// it takes; see `NamedLimit::update`.
  /// @param StartTimeMs start of the incarnation that said so; 0 for any.
  /// @return whether the limit has changed.
  bool updateNamedLimit(const std::string &Address, std::int64_t StartTimeMs,
                        std::optional<double> PerSecond, core::BootTime SaidAt);

  /// Takes an agent's report.
  /// @param Random uniform in [0, 1), rounds this gateway's share of the free
  /// slots.
  void updateFromReport(const AgentReport &Report, core::BootTime Now,
                        double Random);

  /// Takes how long work takes at a target at the moment, from the head of a
  /// response that states it. It tells nothing of later times; see
  /// `expectedSlowness`.
  void recordSlowness(const TargetId &Id, double Slowness, core::BootTime Now);

  /// Counts a request that has arrived, whatever becomes of it: what demand
  /// there is tells how much room the urgent need, and how long prompts are.
  void recordDemand(const TargetRequirements &Demand, core::BootTime Now);

  /// Takes the load that came with a response, but not the slowness in it.
  void updateLoad(const TargetId &Id, LoadReport Load, core::BootTime Now);

  /// Takes the remaining warm-up time that came with a response.
  void updateWarmup(const TargetId &Id, std::chrono::milliseconds Left,
                    core::BootTime Now);

  /// Records that a response started after \p ResponseTime.
  void recordResponseTime(const TargetId &Id,
                          std::chrono::milliseconds ResponseTime,
                          core::BootTime Now);

  /// Selects the target for one request and counts the request as sent.
  /// @param Random uniform in [0, 1), breaks ties between equal scores.
  /// @param Why set to the reason if no target is returned.
  std::optional<SelectedTarget> choose(const TargetRequirements &Demand,
                                       core::BootTime Now, double Random,
                                       SelectionFailure &Why);

  /// Records that a target has said that it leaves. It gets no new requests,
  /// whatever is heard of it later.
  void recordLeaving(const TargetIncarnation &Target, StatementSource Source,
                     core::BootTime Now);

  /// Records that a target has said for how long it wants no requests.
  void recordPause(const TargetIncarnation &Target,
                   std::chrono::milliseconds Duration, core::BootTime Now);

  bool isLeaving(const TargetIncarnation &Target) const {
    return Statements.isLeaving(Target);
  }

  /// Tells whether the request for which \p Chosen was selected may still be
  /// sent to it. Ask right before the first byte leaves: since the selection,
  /// the target may have said that it leaves or wants no requests, or may have
  /// been replaced, evacuated or told to switch versions.
  /// @param Demand as in `choose`; `Tried` is not considered.
  bool maySend(const SelectedTarget &Chosen, TargetRequirements Demand,
               core::BootTime Now) const;

  /// @return when the first of the targets that fulfil the requirements wants
  /// requests again; empty if one of them wants some now, or there is none.
  std::optional<core::BootTime> allPausedUntil(const TargetRequirements &Demand,
                                               core::BootTime Now) const;

  /// @return whether some target fulfils the requirements; if not, `choose`
  /// fails with `SelectionFailure::Unavailable`.
  bool mayServe(const TargetRequirements &Demand, core::BootTime Now) const;

  /// @return whether some target of \p Service has room for a request, though
  /// not for every one; if not, `choose` fails.
  bool hasRoom(std::string_view Service, core::BootTime Now);

  /// Records the end of a request that was sent to a selected target.
  void recordResult(const TargetId &Id, TargetFeedback Outcome,
                    core::BootTime Now);

  /// Records that a selected target is silent, before the end of its request:
  /// it is avoided like one that has ended with `TargetFeedback::Silent`.
  void recordSilence(const TargetId &Id, core::BootTime Now);

  /// @return whether the target is registered, not leaving and not ejected.
  /// Evacuations and switches of versions are not considered.
  bool isHealthy(const TargetId &Id, core::BootTime Now) const;

  std::size_t size() const { return Targets.size(); }

private:
  /// What is configured for one service, and the demand seen for it.
  struct ServiceState {
    /// Timings of its engines; empty if not configured.
    std::optional<EngineTimings> Timings;
    /// One of its targets has stated its speed in an answer.
    bool StatesSpeed = false;
    /// The shortest latency objective of its routes; 0 without any.
    std::chrono::milliseconds ShortestObjective{0};
    /// By priority, the shortest objective of its routes of that priority;
    /// empty if all have one priority.
    std::map<std::uint32_t, std::chrono::milliseconds> ObjectiveByPriority;
    /// Requests seen, altogether and by priority, and those whose prompts are
    /// known with the prompts together; all decay with `DemandHalfLife`.
    double Seen = 0;
    std::map<std::uint32_t, double> SeenByPriority;
    double PromptsSeen = 0;
    double PromptTokensSeen = 0;
    core::BootTime SeenAt{};
    /// What the last reports of all targets leave to this gateway, in places.
    double Places = 0;

    void configure(const std::string &Name, const ServingConfig &Config);
    void decay(core::BootTime Now);
    /// @return the probability that this gateway has a request for the places
    /// that a report shows free.
    double wantsPlace(core::BootTime Now) const;
    /// @return the timings, with what was seen in place of what is not stated.
    EngineTimings timings() const;
  };

  struct Target {
    RegisteredTarget Info;
    /// Null if its service is not configured.
    ServiceState *Of = nullptr;
    bool Engine = false;
    double WarmupRate = 0;
    LoadReport Load;
    /// What was heard last, and when.
    double Slowness = 1;
    core::BootTime SlownessAt{};
    /// When `Load` was received.
    std::optional<core::BootTime> LoadReportedAt;
    /// `Load` is from a report of the agent, not from a response of the target.
    bool LoadFromAgent = false;
    /// When the agent's last report was received.
    std::optional<core::BootTime> AgentHeard;
    /// Requests sent by this process that have not ended.
    std::uint32_t InFlight = 0;
    /// `InFlight` at the time of the load report.
    std::uint32_t InFlightAtReport = 0;
    /// Requests sent by this process since the load report.
    std::uint32_t SentSinceReport = 0;
    /// Requests that this process may still send before the agent's next
    /// report.
    std::uint32_t RemainingQuota = 0;
    /// What `RemainingQuota` followed from: the free places, those of them
    /// within the slots, this gateway's share, and the random number.
    double FreePlaces = 0;
    double FreeSlots = 0;
    double QuotaShare = 0;
    double QuotaRandom = 0;
    /// Its part in `ServiceState::Places`.
    double CountedPlaces = 0;
    /// Prompt tokens of the requests in `SentSinceReport`.
    double TokensSentSinceReport = 0;
    /// The same for requests that leave the failure domain while a target in it
    /// may take them; see `DomainSpill`.
    std::uint32_t SpillQuota = 0;
    bool Switching = false;
    /// An agent has reported a later incarnation at the same address.
    bool Superseded = false;
    /// A later incarnation is registered at the same address.
    bool LaterRegistered = false;
    std::optional<core::BootTime> SwitchAt;
    /// Time to the start of a response in excess of `BaselineResponseTime`, as
    /// of `ExcessUpdatedAt`.
    double ExcessMs = 0;
    core::BootTime ExcessUpdatedAt{};
    core::BootTime ColdUntil{};
    RateShare Cold;
    NamedLimit Limit;
    std::uint32_t ConsecutiveFailures = 0;
    core::BootTime EjectedUntil{};
    std::chrono::milliseconds EjectionTime{0};
    /// A single request is in flight to probe whether the target has recovered.
    bool Probing = false;
  };

  void updateServices(const ServingConfig &Config);
  /// @return whether the targets of the service of \p T state how long work
  /// takes at the moment. They share their hosts with others, so that room is
  /// uneven; otherwise counts of requests compare them well.
  static bool statesSpeed(const Target &T) { return T.Of && T.Of->StatesSpeed; }
  /// @return whether the first events of \p T can be foreseen.
  bool hasTimings(const Target &T) const {
    return T.Engine && statesSpeed(T) && T.Of->Timings;
  }
  EngineLoad engineLoad(const Target &T, core::BootTime Now) const;
  double slownessOf(const Target &T, core::BootTime Now) const {
    return expectedSlowness(T.Slowness, Now - T.SlownessAt);
  }
  /// @return the time in which the first event of a request is expected at \p
  /// T; empty if that is not known.
  std::optional<FractionalMs>
  expectedFirstEventAt(const Target &T, const TargetRequirements &Demand,
                       core::BootTime Now) const;
  /// @return whether \p T, which can take some request, can take this one.
  bool hasRoomFor(const Target &T, const TargetRequirements &Demand,
                  std::optional<FractionalMs> FirstEvent,
                  core::BootTime Now) const;
  /// @return the slots of \p T that a request of \p Priority leaves free for
  /// more urgent ones.
  static std::uint32_t reserveAt(const Target &T, std::uint32_t Priority);
  /// @return whether \p T has a place for \p Demand beside what is kept for
  /// more urgent requests.
  bool hasUnreservedPlace(const Target &T, const TargetRequirements &Demand,
                          core::BootTime Now) const;
  /// @return by how much the gateway's share of free places is raised: other
  /// gateways, whose demand is about as large, often have no request for
  /// theirs. Not raised while there are places enough, since the shares also
  /// spread the requests of all gateways over the targets.
  static double shareFactor(const ServiceState &Of, core::BootTime Now);
  /// Divides the free places of \p T, which has just been reported, among the
  /// gateways.
  void assignQuota(Target &T, core::BootTime Now, double Random) const;
  void countPlaces(Target &T) const;
  /// @return what \p T costs by `LoadBalancerSettings`, whatever its requests:
  /// for its failure domain, its memory, its agent's silence, and the time of
  /// its responses.
  double fixedPoints(const Target &T, core::BootTime Now) const;
  /// @return the cost of a request at \p T: in points, or in ms if
  /// \p FirstEvent is known.
  double score(const Target &T, const TargetRequirements &Demand,
               std::optional<FractionalMs> FirstEvent,
               core::BootTime Now) const;
  SelectedTarget select(Target &T, const TargetRequirements &Demand,
                        std::optional<FractionalMs> FirstEvent,
                        core::BootTime Now);
  void markSuperseded(const ServingConfig &Config);
  /// @return the requests at \p T: those of its last report, corrected by this
  /// process's own requests since.
  double estimatedLoad(const Target &T, core::BootTime Now) const;
  /// @return the requests at an engine that have no first token yet: those of
  /// its last report and all that this process has sent since; 0 without a
  /// fresh report.
  double estimatedWaiting(const Target &T, core::BootTime Now) const;
  /// @return the requests that \p T is given at most, its queue included.
  double capacity(const Target &T) const;
  /// @return the fraction of the free slots of \p T that this gateway may fill.
  double gatewayShare(const Target &T) const;
  double computeGatewayShare(const Target &T) const;
  /// Forgets the shares, because what they follow from has changed.
  void resetGatewayShares() {
    GatewayShares.clear();
    SpillShares.clear();
  }
  /// What the own failure domain offers one request, and so which targets
  /// elsewhere it may use.
  struct Departure {
    /// Only the surplus of other domains may be used.
    bool Limited = false;
    DomainLeave Reason = DomainLeave::Better;
  };
  Departure departure(const TargetRequirements &Demand, core::BootTime Now);
  bool mayLeaveFor(const Target &T, const Departure &Leave,
                   core::BootTime Now) const;
  /// Tells `Spill` the room of all domains, if it was not told lately.
  void refreshSpill(core::BootTime Now);
  /// @return whether `Spill` decides which requests leave to or from \p T.
  bool isSpillActive(const Target &T) const;
  /// @return the part of the free places of \p T that this gateway may fill.
  double ownShare(const Target &T) const;
  /// @return the requests that may leave for \p T until its next report.
  std::uint32_t spillQuota(const Target &T, double Random) const;
  double spillShare(const Target &T) const;
  /// @return the requests that \p T may still be given by its last report, its
  /// queue included, and those of them that would not wait for a slot.
  double freePlaces(const Target &T) const;
  double freeSlots(const Target &T) const;
  /// @return what the failure domain of \p T adds to its score.
  /// @param PerPoint time that a point stands for.
  DomainSurcharge domainSurcharge(const Target &T,
                                  const TargetRequirements &Demand,
                                  FractionalMs PerPoint) const;
  /// @return whether \p T takes requests now, whatever its load.
  bool takesRequests(Target &T, core::BootTime Now);
  /// The targets of one service that accept work.
  struct TargetCounts {
    std::map<core::FailureDomainId, std::size_t> InDomain;
    std::size_t Total = 0;
  };
  TargetCounts countTargets(std::string_view Service) const;
  /// @return the weight of a gateway of \p Domain at targets of other domains;
  /// see `LoadBalancerSettings::MinRemoteWeight`.
  double remoteDomainWeight(const core::FailureDomainId &Domain,
                            const TargetCounts &Of) const;
  void indexAddresses();
  bool hasFreshReport(const Target &T, core::BootTime Now) const;
  bool isAgentSilent(const Target &T, core::BootTime Now) const;
  double agentSilencePenalty(const Target &T, core::BootTime Now) const;
  double excessResponseMs(const Target &T, core::BootTime Now) const;
  bool finishesBeforeSwitch(const Target &T, const TargetRequirements &Demand,
                            core::BootTime Now) const;
  /// @return whether \p T is one of the service's targets that get requests,
  /// whatever its load and health.
  bool acceptsWork(const Target &T, std::string_view Service) const;
  /// @return whether \p T can take a request now, going by its load and health
  /// alone.
  bool hasRoom(Target &T, core::BootTime Now);
  /// @return whether \p T fulfils the requirements, whatever its load and
  /// health.
  bool isEligible(const Target &T, const TargetRequirements &Demand,
                  core::BootTime Now) const;
  bool isEjected(const Target &T, core::BootTime Now) const;
  std::optional<core::BootTime> startDeadline(const Target &T,
                                              std::string_view Model) const;
  std::uint64_t versionOf(const Target &T, std::string_view Model) const;
  bool versionUsable(const Target &T, const TargetRequirements &Demand,
                     core::BootTime Now) const;
  bool regionAllowed(const Target &T, const TargetRequirements &Demand) const;
  void eject(Target &T, core::BootTime Now);

  /// A version that operators have named, and when it takes effect.
  struct NamedVersion {
    std::uint64_t Version = 0;
    core::BootTime Deadline{};
  };

  LoadBalancerSettings Settings;
  Hooks Observers;
  std::map<std::string, ServiceState, std::less<>> Services;
  std::map<TargetId, Target> Targets;
  /// The targets at each address. One that restarts mostly has a new id, so
  /// there may be several.
  std::unordered_map<std::string, std::vector<Target *>> TargetsAt;
  /// Results of `gatewayShare` by service and failure domain of the target. A
  /// share is needed for each of the many reports, and changes rarely.
  mutable std::map<std::pair<std::string, core::FailureDomainId>, double>
      GatewayShares;
  std::optional<DomainSpill> Spill;
  std::optional<core::BootTime> SpillRefreshedAt;
  /// Results of `spillShare`, as in `GatewayShares`.
  mutable std::map<std::pair<std::string, core::FailureDomainId>, double>
      SpillShares;
  /// Outlives the entries of `Targets`.
  TargetStatements Statements;
  std::set<core::FailureDomainId> Evacuated;
  std::map<std::string, std::vector<NamedVersion>, std::less<>> Named;
  /// Gateways in each failure domain.
  std::map<core::FailureDomainId, std::size_t> GatewayCounts;
  /// Gateways that divide the rate of a cold target.
  std::size_t ColdSharers = 1;
  /// Name of this gateway, and of all, for the targets that name a limit.
  std::string Self;
  std::vector<std::string> GatewayNames;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_LOAD_BALANCER_H
