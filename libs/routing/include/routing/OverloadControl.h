#ifndef ROSEMARYLANE_ROUTING_OVERLOAD_CONTROL_H
#define ROSEMARYLANE_ROUTING_OVERLOAD_CONTROL_H

#include "core/Catalogue.h"
#include "core/Time.h"
#include "routing/RateLimit.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace rosemarylane::routing {

/// Limits of one entry process that are independent of target state: the
/// concurrency of each workspace, the rate of each catalogue entry, and the
/// number of requests in the process, where lower traffic classes are refused
/// first.
///
/// Rate limits apply to the fleet, and each entry process takes an equal share.
/// The concurrency limit of a workspace applies to each entry process on its
/// own.
///
///     if (auto Refused = Control.tryAdmit(Sender, Entry, EntryProcesses, Now))
///       // Answer with Refused->RetryAfter; the request has not been run.
///     ...
///     Control.finished(Sender.Name);
///
/// Call `finished` exactly once for each admitted request. Copyable, reads no
/// clock, and not thread-safe.
class OverloadControl {
public:
  struct Settings {
    /// Maximum number of requests in the process, whether queued or sent to a
    /// target.
    std::uint32_t Capacity = 4096;
    /// For each traffic class, highest first, the fraction of the capacity at
    /// which it is refused. Requests of all classes in the process count.
    std::array<double, 3> ClassThreshold{1.0, 0.85, 0.7};
  };

  enum class Reason {
    /// The workspace has reached its concurrency limit in this process.
    WorkspaceConcurrency,
    /// The rate limit of the catalogue entry is exhausted.
    EntryRate,
    /// The process has no capacity left for this traffic class.
    ProcessCapacity,
  };

  struct Refusal {
    Reason Cause;
    std::chrono::milliseconds RetryAfter;
  };

  OverloadControl() : OverloadControl(Settings()) {}
  explicit OverloadControl(Settings Config) : Config(Config) {}

  /// Admits a request to the process, unless a limit is reached. It may still
  /// have to wait for a target.
  /// @param Sender workspace that sends the request.
  /// @param EntryProcesses number of live entry processes; each takes an equal
  /// share of the fleet-wide rate limits.
  /// @return the refusal, or nothing if the request was admitted.
  std::optional<Refusal> tryAdmit(const core::Workspace &Sender,
                                  const core::CatalogueEntry &Entry,
                                  std::size_t EntryProcesses,
                                  core::TimePoint Now);

  /// Ends an admitted request.
  void finished(const core::WorkspaceId &Sender);

  /// @return the number of admitted requests that have not finished, whether
  /// queued or sent to a target.
  std::uint32_t inProgress() const { return InProgress; }

private:
  Settings Config;
  std::uint32_t InProgress = 0;
  std::map<core::WorkspaceId, std::uint32_t> InProgressByWorkspace;
  std::map<core::EntryName, RateLimit> Rates;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_OVERLOAD_CONTROL_H
