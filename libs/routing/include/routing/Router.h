#ifndef ROSEMARYLANE_ROUTING_ROUTER_H
#define ROSEMARYLANE_ROUTING_ROUTER_H

#include "core/Ids.h"
#include "core/Time.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace rosemarylane::routing {

/// Chooses the target of each request in an entry process.
///
/// Load reports are stale and other entry processes send requests too, so the
/// choice is the better of two random targets by expected latency: the reported
/// load, corrected by the requests that this process has started and finished
/// since, times the latency. Requests with a common prefix go to the same
/// target while the expected saving from the engine's prefix cache outweighs
/// the longer wait. A target in another region is chosen only when the closer
/// ones have no capacity. Within the region, a target in another failure domain
/// that would start the request at once is preferred to waiting in this one. A
/// target that has just failed is avoided for a while.
///
/// Call `started` and `finished` for each attempt, and `reported` for each load
/// report. Copyable, without a clock or random generator of its own, and not
/// thread-safe.
class Router {
public:
  /// Distance of a target from this process; closer targets are preferred.
  enum class Distance { FailureDomain, Region, Fleet };

  /// A candidate for a request, as last reported.
  struct Target {
    core::HostId Host;
    Distance Proximity = Distance::FailureDomain;
    /// Number of requests of the traffic class to be routed that the target
    /// would accept, to run or to wait there. Corresponds to
    /// `Load::ClassCapacity`; `Load::Credits` corresponds to `Slots`.
    std::uint32_t Credits = 0;
    /// Of `Credits`, the number that would start at once.
    std::uint32_t Slots = 0;
    std::uint32_t InProgress = 0;
    std::uint32_t Waiting = 0;
    /// Smoothed time to first byte, as reported by the agent.
    std::chrono::nanoseconds Latency{0};
  };

  struct Settings {
    /// Time for which a target is avoided after an attempt at it ended with
    /// `Outcome::Failed`.
    std::chrono::milliseconds FailureCooldown{1000};
    /// Time to first byte with a cached prefix, as a fraction of the time
    /// without.
    double CachedLatencyFactor = 0.5;
    /// Fraction of a target's limit that requests routed by prefix leave free.
    double ReservedFraction = 0.25;
    /// Latency assumed for a target that has not reported one.
    std::chrono::milliseconds DefaultLatency{100};
    /// Weight of the newest latency that this process has observed.
    double Smoothing = 0.2;
  };

  /// How an attempt ended.
  enum class Outcome {
    /// The target answered.
    Answered,
    /// The target had no capacity and refused the request.
    Busy,
    /// The target failed, or the connection to it was lost.
    Failed,
    /// Any other end, which says nothing about the target.
    Abandoned
  };

  using Random = std::function<std::uint64_t()>;

  Router() : Router(Settings()) {}
  explicit Router(Settings Config) : Config(Config) {}

  /// Chooses a target.
  /// @param PrefixHash hash of the prefix; 0 if there is none worth caching.
  /// @param Draw source of uniformly distributed random numbers.
  /// @return the index of the target, or nothing if none has capacity.
  std::optional<std::size_t> choose(const std::vector<Target> &Targets,
                                    std::uint64_t PrefixHash,
                                    core::TimePoint Now, const Random &Draw);

  /// Chooses the target for a request that is suspected of crashing targets.
  /// Every entry process that sees the same targets chooses the same one,
  /// whatever its distance and load.
  /// @param RequestHash identifies the request.
  /// @return the index of the target, or nothing if there are none.
  std::optional<std::size_t>
  chooseForSuspect(const std::vector<Target> &Targets,
                   std::uint64_t RequestHash) const;

  /// Records that an attempt was sent to the target.
  void started(const core::HostId &Host);

  /// Records that an attempt ended.
  /// @param Latency time to first byte; 0 if there was none.
  void finished(const core::HostId &Host, Outcome Result,
                std::chrono::nanoseconds Latency, core::TimePoint Now);

  /// Records that a newer load report of the target has arrived.
  void reported(const core::HostId &Host);

  /// Drops the local state of all targets for which \p Gone returns true.
  void forgetTargets(const std::function<bool(const core::HostId &)> &Gone);

  /// @return the number of attempts of this process in progress at the target.
  std::uint32_t inProgress(const core::HostId &Host) const;

private:
  /// What this process has observed of a target itself.
  struct LocalState {
    std::int64_t InProgress = 0;
    /// Attempts that were in progress at the last load report, and are
    /// therefore included in it.
    std::int64_t InProgressAtReport = 0;
    /// Whether the target has refused an attempt since its last load report.
    bool RefusedSinceReport = false;
    core::TimePoint AvoidUntil;
    /// Smoothed latency in nanoseconds; 0 before the first answer.
    double Latency = 0;
  };

  const LocalState &localState(const core::HostId &Host) const;
  /// @return the number of attempts started minus those finished by this
  /// process since the last load report of the target.
  std::int64_t netSentSinceReport(const Target &T) const;
  bool hasCapacity(const Target &T, std::uint32_t Reported) const;
  /// @return the expected latency of one more request, in nanoseconds.
  double cost(const Target &T) const;
  /// @param PrefixTarget the target that all requests with the prefix share,
  /// and that probably has it in its cache.
  /// @param Cheaper the cheaper of the two random targets.
  /// @return whether the request should go to \p PrefixTarget.
  bool prefersPrefixTarget(const Target &PrefixTarget,
                           const Target &Cheaper) const;
  std::size_t rank(const Target &T, core::TimePoint Now) const;
  std::vector<std::size_t> lowestRanked(const std::vector<Target> &Targets,
                                        core::TimePoint Now) const;

  Settings Config;
  std::map<core::HostId, LocalState> LocalStates;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_ROUTER_H
