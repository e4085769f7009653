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

/// Limits of one entry process that do not depend on the targets: by workspace,
/// by catalogue entry, and over all, where lower classes stop first.
///
///     if (auto Refused = Control.tryStart(Owner, Entry, EntryProcesses, Now))
///       // answer with Refused->RetryAfter; the request was not run
///     ...
///     Control.finished(Owner.Name);
///
/// Every started request is finished exactly once. A value type without a
/// clock.
class OverloadControl {
public:
  struct Settings {
    /// Requests in progress or waiting in the process.
    std::uint32_t Capacity = 4096;
    /// Parts of the capacity that each class may fill.
    std::array<double, 3> ClassShare{1.0, 0.85, 0.7};
  };

  enum class Reason {
    /// The workspace has as many requests in progress as it may.
    WorkspaceConcurrency,
    /// The catalogue entry's rate is used up.
    EntryRate,
    /// The process is full for this class.
    ProcessFull,
  };

  struct Refusal {
    Reason Why;
    std::chrono::milliseconds RetryAfter;
  };

  OverloadControl() : OverloadControl(Settings()) {}
  explicit OverloadControl(Settings Bounds) : Bounds(Bounds) {}

  /// Counts a request as started, unless a limit is reached.
  /// @param EntryProcesses live entry processes, among which rates over the
  /// whole fleet are shared out.
  std::optional<Refusal> tryStart(const core::Workspace &Owner,
                                  const core::CatalogueEntry &Entry,
                                  std::size_t EntryProcesses,
                                  core::TimePoint Now);

  /// Ends a request that was started.
  void finished(const core::WorkspaceId &Owner);

  std::uint32_t inProgress() const { return Running; }

private:
  Settings Bounds;
  std::uint32_t Running = 0;
  std::map<core::WorkspaceId, std::uint32_t> ByWorkspace;
  std::map<core::EntryName, RateLimit> Rates;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_OVERLOAD_CONTROL_H
