#ifndef ROSEMARYLANE_SERVING_LOAD_BALANCER_H
#define ROSEMARYLANE_SERVING_LOAD_BALANCER_H

#include "core/BootClock.h"
#include "core/Ids.h"
#include "serving/RegisteredTarget.h"
#include "serving/ServingConfig.h"
#include "serving/WarmupRateLimiter.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rosemarylane::serving {

/// Work at a target, as it or its agent has told.
struct LoadReport {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  /// Share of the memory for requests that is taken, 0 to 1.
  double MemoryUsed = 0;
};

/// What an agent tells of the target beside it.
struct AgentReport {
  /// `IP:port` of the target.
  std::string Address;
  std::int64_t StartTimeMs = 0;
  LoadReport Load;
  /// The target is loading or about to: it takes no new work.
  bool Switching = false;
  /// Time until the target is to load another version; 0 if not planned.
  std::chrono::milliseconds TimeToSwitch{0};
  std::vector<LoadedModel> Models;
};

/// How a request that was sent to a target ended, as far as it tells about the
/// target.
enum class TargetFeedback {
  Served,
  /// Refused without having run, because the target is full.
  Full,
  /// Refused without having run, because another incarnation or version is
  /// there.
  Mismatch,
  /// An answer of the target's own that says that it failed.
  Failed,
  /// The connection was refused, reset, or ended before a whole answer.
  Broken,
  /// No sign of life in time.
  Silent,
  /// Ended by the caller or by the gateway; says nothing about the target.
  Abandoned,
};

/// What a request asks of a target.
struct TargetRequirements {
  std::string_view Service;
  /// Empty: everywhere.
  std::vector<core::RegionId> AllowedRegions;
  /// The model that the target must hold; empty for plain services.
  std::string_view Model;
  /// How long the request is expected to run; 0 if not known.
  std::chrono::milliseconds ExpectedDuration{0};
  /// A stream goes on only with the version it began with; 0 allows all.
  std::uint64_t ExactVersion = 0;
  /// Targets that this request was sent to already.
  const std::vector<TargetId> *Tried = nullptr;
};

/// Why no target was chosen.
enum class SelectionFailure {
  /// None is registered, or all are leaving, evacuated, or hold no usable
  /// version: waiting does not help soon.
  Unavailable,
  /// All usable ones have as much work as they take.
  Full,
};

/// The target chosen for one request.
struct SelectedTarget {
  TargetId Id;
  std::string Address;
  /// Version that the target is known to hold, 0 if not known.
  std::uint64_t Version = 0;
  /// The request must have begun by then, because a newer version than the
  /// target's is in force afterwards.
  std::optional<core::BootTime> StartDeadline;
  /// The target must refuse if it holds another version by now.
  bool VersionRequired = false;
  /// Work known at the target before this request, as a share of its slots.
  double Load = 0;
  /// Age of what is known of it.
  std::chrono::milliseconds LoadAge{0};
  bool OwnDomain = false;
};

/// Limits of the board; constants of the process.
struct LoadBalancerSettings {
  core::FailureDomainId OwnDomain;
  std::map<core::FailureDomainId, core::RegionId> RegionOf;
  /// Requests beyond its slots that an engine is given: they wait inside it
  /// for less than the gateway would need to hear of a free slot.
  double EngineQueue = 1.5;
  /// Requests at an engine that have no first token yet, at most: an engine
  /// reads prompts one after the other.
  double EngineWaiting = 6;
  /// What each of them weighs more than one that is writing.
  double WaitingPenalty = 2;
  /// Requests beyond its slots that a plain service is given, as a share of its
  /// slots.
  double PlainQueueRatio = 1.0;
  /// Load, in slots, by which a target elsewhere must be better.
  double RemotePenalty = 4;
  /// What a gateway counts for at a target of another failure domain if its own
  /// domain has its part of the targets; up to 1 the fewer it has.
  double MinRemoteWeight = 0.25;
  /// An agent that has reported before and is silent for longer may have gone
  /// with its host; its target then weighs so many requests more.
  std::chrono::milliseconds AgentTimeout{900};
  double AgentSilencePenalty = 12;
  /// A report older than this is no longer trusted.
  std::chrono::milliseconds ReportTtl{1500};
  /// First and longest pause after a target has failed.
  std::chrono::milliseconds InitialEjectionTime{400};
  std::chrono::milliseconds MaxEjectionTime{3000};
  /// A request may outlast a planned switch of its target by so much.
  std::chrono::milliseconds SwitchSlack{250};
  /// First sign of an answer up to this time counts as usual.
  std::chrono::milliseconds BaselineResponseTime{200};
  /// Time beyond that which weighs as much as one request at the target.
  std::chrono::milliseconds ResponseTimePerRequest{40};
  /// What is learnt of a target's response time is forgotten by half in this
  /// time.
  std::chrono::milliseconds ResponseHalfLife{1500};
  /// Targets with an older version get no more requests so long before a newer
  /// one is in force, and none of theirs begins so shortly before.
  std::chrono::milliseconds VersionMargin{500};
  std::chrono::milliseconds StartMargin{200};
  /// Failures in a row that pause a target that still answers.
  std::uint32_t FailuresToEject = 3;
};

/// What one gateway knows of every target, and which one takes the next
/// request.
///
/// Load pattern: engines near nine tenths of their slots, many gateways that do
/// not see each other's sends, targets that start cold, switch versions, or
/// fail while they look healthy. Each target's load is its last report plus
/// what this process has sent and seen end since. The least loaded usable
/// target of the own failure domain is chosen, another domain's only if it is
/// better by `RemotePenalty`. Of the places that a report shows free, each
/// gateway takes its share, rounded at random, so that together they fill the
/// target instead of all sending to the same free slot. An engine that has just
/// loaded shows all its slots free; it is still given few prompts at a time,
/// because it reads them one after the other. Pure: time comes in
/// with each call; not thread-safe.
class LoadBalancer {
public:
  explicit LoadBalancer(LoadBalancerSettings Settings);

  /// Replaces the registered targets. Targets that are gone are forgotten with
  /// all that was learnt of them.
  void setRegistered(const std::vector<RegisteredTarget> &Targets,
                     const ServingConfig &Config, core::BootTime Now);

  /// Failure domains whose targets get no new work.
  void setEvacuated(std::set<core::FailureDomainId> Domains);

  /// A version named of \p Model. Targets that hold an older one get no new
  /// work shortly before \p Deadline; earlier named versions keep their own
  /// deadlines. A later deadline replaces one that was given before, as a peer
  /// may know better when the version was named.
  void setNamedVersion(const std::string &Model, std::uint64_t Version,
                       core::BootTime Deadline);

  /// How many gateways there are in each failure domain, the own one included.
  void setGateways(std::map<core::FailureDomainId, std::size_t> InDomain);

  /// An agent's report.
  /// @param Random uniform in [0, 1), for the share of the free places.
  void updateFromReport(const AgentReport &Report, core::BootTime Now,
                        double Random);

  /// Load that came with an answer.
  void updateLoad(const TargetId &Id, LoadReport Load, core::BootTime Now);

  /// The target said how much longer it stays cold.
  void updateWarmup(const TargetId &Id, std::chrono::milliseconds Left,
                    core::BootTime Now);

  /// The first sign of an answer came after \p Took.
  void recordResponseTime(const TargetId &Id, std::chrono::milliseconds Took,
                          core::BootTime Now);

  /// Chooses the target for one request and counts the send.
  /// @param Random uniform in [0, 1), to break ties.
  std::optional<SelectedTarget> choose(const TargetRequirements &Demand,
                                       core::BootTime Now, double Random,
                                       SelectionFailure &Failure);

  /// A chosen target's request ended.
  void recordResult(const TargetId &Id, TargetFeedback Outcome,
                    core::BootTime Now);

  /// @return free places of \p Service at usable targets, negative if they
  /// have more work than places.
  double freeSlots(std::string_view Service, core::BootTime Now) const;

  /// @return places of \p Service at usable targets.
  double totalSlots(std::string_view Service, core::BootTime Now) const;

  /// @return whether the target is still registered and not leaving.
  bool isUsable(const TargetId &Id, core::BootTime Now) const;

  std::size_t size() const { return Targets.size(); }

private:
  struct Target {
    RegisteredTarget Info;
    bool Engine = false;
    double WarmupRate = 0;
    LoadReport Load;
    std::optional<core::BootTime> LoadTime;
    bool FromAgent = false;
    std::optional<core::BootTime> AgentHeard;
    /// Sent by this process and not ended.
    std::uint32_t InFlight = 0;
    /// `InFlight` when the load was reported.
    std::uint32_t InFlightAtReport = 0;
    /// Sends of this process since the load was reported.
    std::uint32_t SentSinceReport = 0;
    /// Sends that may still follow the last report of the agent.
    std::uint32_t RemainingQuota = 0;
    bool Switching = false;
    /// A later incarnation runs at the same address.
    bool Superseded = false;
    std::optional<core::BootTime> SwitchAt;
    /// Response time beyond the usual, as of `ExcessUpdatedAt`.
    double ExcessMs = 0;
    core::BootTime ExcessUpdatedAt{};
    core::BootTime ColdUntil{};
    WarmupRateLimiter Cold;
    std::uint32_t ConsecutiveFailures = 0;
    core::BootTime EjectedUntil{};
    std::chrono::milliseconds EjectionTime{0};
    /// One request is under way to see whether the target works again.
    bool Probing = false;
  };

  void markSuperseded(const ServingConfig &Config);
  double estimatedLoad(const Target &T, core::BootTime Now) const;
  double pendingPrefills(const Target &T, core::BootTime Now) const;
  double capacity(const Target &T) const;
  double gatewayShare(const Target &T) const;
  double remoteDomainWeight(const core::FailureDomainId &Domain,
                            std::string_view Service) const;
  bool hasFreshReport(const Target &T, core::BootTime Now) const;
  double agentSilencePenalty(const Target &T, core::BootTime Now) const;
  double excessResponseMs(const Target &T, core::BootTime Now) const;
  bool finishesBeforeSwitch(const Target &T, const TargetRequirements &Demand,
                            core::BootTime Now) const;
  bool isEligible(const Target &T, const TargetRequirements &Demand,
                  core::BootTime Now) const;
  bool isEjected(const Target &T, core::BootTime Now) const;
  std::optional<core::BootTime> startDeadline(const Target &T,
                                              std::string_view Model) const;
  std::uint64_t loadedVersion(const Target &T, std::string_view Model) const;
  bool isVersionUsable(const Target &T, const TargetRequirements &Demand,
                       core::BootTime Now) const;
  bool isRegionAllowed(const Target &T, const TargetRequirements &Demand) const;
  void eject(Target &T, core::BootTime Now);

  struct NamedVersion {
    std::uint64_t Version = 0;
    core::BootTime Deadline{};
  };

  LoadBalancerSettings Settings;
  std::map<TargetId, Target> Targets;
  std::set<core::FailureDomainId> Evacuated;
  std::map<std::string, std::vector<NamedVersion>, std::less<>> Named;
  std::map<core::FailureDomainId, std::size_t> Gateways;
  /// Gateways of the own failure domain.
  std::size_t LocalGateways = 1;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_LOAD_BALANCER_H
