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

/// An entry process's choice among the targets that serve a request's catalogue
/// entry.
///
/// Load reports are late and other entries send too, so the choice is the
/// better of two random targets, judged by the expected time: the reported load
/// corrected by what this process has sent and seen end since, and the latency.
/// Requests with a common prefix go to the same target while that costs less
/// than the engine's prefix cache saves. A target of another failure domain is
/// chosen only when the nearer ones are full. A target that has just
/// failed is avoided for a while. A value type without a clock or randomness of
/// its own.
class Router {
public:
  /// How far away a target is; nearer ones are preferred.
  enum class Distance { FailureDomain, Region, Fleet };

  /// A target that could take the request, as last reported.
  struct Target {
    core::HostId Host;
    Distance Where = Distance::FailureDomain;
    /// Requests that it would still take, to run or to wait there.
    std::uint32_t Credits = 0;
    /// Of those, requests that it would start at once.
    std::uint32_t Slots = 0;
    std::uint32_t InProgress = 0;
    std::uint32_t Waiting = 0;
    /// Smoothed time to the first part of an answer, as the agent reports it.
    std::chrono::nanoseconds Latency{0};
  };

  struct Settings {
    /// A target is avoided for this long after it failed or was lost.
    std::chrono::milliseconds FailureRest{1000};
    /// With a cached prefix, an answer begins after this part of the time.
    double CachedPart = 0.5;
    /// Part of a target's limit that affinity to it leaves free.
    double SpareSlots = 0.25;
    /// Latency assumed of a target that has not reported any.
    std::chrono::milliseconds UnknownLatency{100};
    /// Weight of this process's own newest observation of a latency.
    double Smoothing = 0.2;
  };

  /// How an attempt ended.
  enum class Outcome { Answered, Busy, Failed, Abandoned };

  using Random = std::function<std::uint64_t()>;

  Router() : Router(Settings()) {}
  explicit Router(Settings Bounds) : Bounds(Bounds) {}

  /// @param PrefixHash 0 if the request has no prefix worth caching.
  /// @return the index of the target, or nothing if none has credit.
  std::optional<std::size_t> choose(const std::vector<Target> &Targets,
                                    std::uint64_t PrefixHash,
                                    core::TimePoint Now, const Random &Draw);

  /// Picks the one target for a request that may kill it: the same at every
  /// entry that sees the same targets, however far and loaded it is.
  /// @param RequestHash names the request.
  std::optional<std::size_t>
  chooseForSuspect(const std::vector<Target> &Targets,
                   std::uint64_t RequestHash) const;

  /// An attempt was sent to the target.
  void started(const core::HostId &Host);

  /// An attempt ended.
  /// @param Latency time to the first part; 0 if none came.
  void finished(const core::HostId &Host, Outcome How,
                std::chrono::nanoseconds Latency, core::TimePoint Now);

  /// A newer load report of the target came.
  void reported(const core::HostId &Host);

  /// Drops what is known of the targets that have \p Gone.
  void forgetIf(const std::function<bool(const core::HostId &)> &Gone);

  /// @return attempts of this process in progress at the target.
  std::uint32_t inProgress(const core::HostId &Host) const;

private:
  /// What this process knows of a target by itself.
  struct Local {
    std::int64_t InProgress = 0;
    /// Of those, in progress when the target reported last: the report counts
    /// them.
    std::int64_t AtReport = 0;
    /// It has refused since the last report.
    bool Full = false;
    core::TimePoint AvoidUntil;
    /// Nanoseconds; 0 before the first answer.
    double Latency = 0;
  };

  const Local &local(const core::HostId &Host) const;
  /// Sent by this process since the target's last report, less what ended.
  std::int64_t sentSince(const Target &T) const;
  bool hasRoom(const Target &T, std::uint32_t Reported) const;
  double cost(const Target &T) const;
  bool cachePays(const Target &Cached, const Target &Better) const;
  std::size_t rank(const Target &T, core::TimePoint Now) const;
  std::vector<std::size_t> bestRanked(const std::vector<Target> &Targets,
                                      core::TimePoint Now) const;

  Settings Bounds;
  std::map<core::HostId, Local> Locals;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_ROUTER_H
