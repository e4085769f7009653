#ifndef ROSEMARYLANE_SERVING_TARGET_SELECTION_H
#define ROSEMARYLANE_SERVING_TARGET_SELECTION_H

#include "core/BootClock.h"
#include "core/Ids.h"
#include "serving/DomainSpill.h"
#include "serving/RegisteredTarget.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarylane::serving {

/// How a request that was sent to a target ended, by what it says about the
/// target's health and load. `SendResult` is the counterpart for the request;
/// `Full` and `Mismatch` correspond to `SendResult::Refused`.
enum class TargetFeedback {
  Served,
  /// Refused without having run, because the target is full.
  Full,
  /// Refused without having run, because another incarnation or version is
  /// there.
  Mismatch,
  /// The target responded with an error of its own.
  Failed,
  /// The connection was refused, was reset, or ended before a complete
  /// response.
  Broken,
  /// The target did not respond in time.
  Silent,
  /// Ended by the caller or by the gateway; says nothing about the target.
  Abandoned,
};

/// What a request requires of a target.
struct TargetRequirements {
  std::string_view Service;
  /// All regions are allowed if empty.
  std::vector<core::RegionId> AllowedRegions;
  /// Model that the target must have loaded; empty for plain services.
  std::string_view Model;
  /// Expected duration of the request; 0 if unknown.
  std::chrono::milliseconds ExpectedDuration{0};
  /// Version that a resumed stream began with and needs again; 0 allows all.
  std::uint64_t ExactVersion = 0;
  /// Targets that this request was sent to already.
  const std::vector<TargetId> *Tried = nullptr;
  /// 0 if unknown.
  std::uint32_t PromptTokens = 0;
  /// Requests with a lower number are more urgent.
  std::uint32_t Priority = 0;
  /// What the route's latency objective left at `ObjectiveAsOf`; 0 if unknown
  /// or already passed.
  std::chrono::milliseconds ObjectiveLeft{0};
  /// The time of the selection if empty.
  std::optional<core::BootTime> ObjectiveAsOf;
  /// Expected bytes of the request and its response; 0 if unknown.
  std::uint64_t ExpectedBytes = 0;
};

/// Why no target was selected.
enum class SelectionFailure {
  /// No registered target fulfils the requirements: all are leaving,
  /// evacuated, loading a version, superseded, tried already, in a region that
  /// is not allowed, or without a version that may still serve. Waiting is not
  /// expected to help soon.
  Unavailable,
  /// Some target fulfils the requirements, but each of these wants no requests
  /// for a while; see `LoadBalancer::allPausedUntil`.
  Paused,
  /// Some target fulfils the requirements, but none can take the request now:
  /// each of these is at capacity, ejected, cold (in another failure domain, or
  /// with its rate used up), at the limit that it named, or about to switch
  /// versions before the request
  /// would end.
  Full,
};

/// The target selected for one request.
struct SelectedTarget {
  TargetId Id;
  std::string Address;
  /// Start of the target's incarnation, as in `RegisteredTarget::StartTimeMs`.
  std::int64_t StartTimeMs = 0;
  /// Version that the target is known to hold, 0 if not known.
  std::uint64_t Version = 0;
  /// Time by which the request must have started, because a newer version than
  /// the target's takes effect shortly afterwards.
  std::optional<core::BootTime> StartDeadline;
  /// The target must refuse the request if its version has changed: a stream
  /// goes on there, or its agent is silent.
  bool VersionRequired = false;
  /// Load of the target before this request, as a fraction of its slots.
  double Load = 0;
  /// Age of the load report.
  std::chrono::milliseconds LoadAge{0};
  bool OwnDomain = false;
  /// Expected time from the send to the first event; empty if the engine's
  /// timings are not known.
  std::optional<std::chrono::milliseconds> ExpectedFirstEvent;
  /// Why it is in another failure domain.
  DomainLeave Leave = DomainLeave::Stayed;

  TargetIncarnation incarnation() const { return {Id, StartTimeMs}; }
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_TARGET_SELECTION_H
