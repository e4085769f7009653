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

/// Limits of one entry process that are independent of target state: per
/// workspace, per catalogue entry, and over the whole process, where lower
/// traffic classes are refused first.
///
///     if (auto Refused = Control.tryAdmit(Owner, Entry, EntryProcesses, Now))
///       // Answer with Refused->RetryAfter; the request has not been run.
///     ...
///     Control.finished(Owner.Name);
///
/// Call `finished` exactly once for each started request. Copyable, reads no
/// clock, and not thread-safe.
class OverloadControl {
public:
  struct Settings {
    /// Maximum number of requests in the process, whether in progress or
    /// queued.
    std::uint32_t Capacity = 4096;
    /// Fraction of the capacity available to each traffic class.
    std::array<double, 3> ClassShare{1.0, 0.85, 0.7};
  };

  enum class Reason {
    /// The workspace has reached its concurrency limit.
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

  /// Counts a request as started, unless a limit is reached.
  /// @param EntryProcesses number of live entry processes; each takes an equal
  /// share of the fleet-wide rate limits.
  /// @return the refusal, or nothing if the request was started.
  std::optional<Refusal> tryAdmit(const core::Workspace &Owner,
                                  const core::CatalogueEntry &Entry,
                                  std::size_t EntryProcesses,
                                  core::TimePoint Now);

  /// Ends a started request.
  void finished(const core::WorkspaceId &Owner);

  std::uint32_t inProgress() const { return InProgress; }

private:
  Settings Config;
  std::uint32_t InProgress = 0;
  std::map<core::WorkspaceId, std::uint32_t> InProgressByWorkspace;
  std::map<core::EntryName, RateLimit> Rates;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_OVERLOAD_CONTROL_H
