#include "routing/OverloadControl.h"

#include <algorithm>
#include <cassert>

namespace rosemarylane::routing {

namespace {

constexpr std::chrono::milliseconds ConcurrencyRetryAfter{500};
constexpr std::chrono::milliseconds ProcessCapacityRetryAfter{1000};

} // namespace

std::optional<OverloadControl::Refusal>
OverloadControl::tryAdmit(const core::Workspace &Sender,
                          const core::CatalogueEntry &Entry,
                          std::size_t EntryProcesses, core::TimePoint Now) {
  double Threshold =
      Config.ClassThreshold[static_cast<std::size_t>(Entry.Class)];
  if (InProgress >= Threshold * Config.Capacity)
    return Refusal{Reason::ProcessCapacity, ProcessCapacityRetryAfter};
  std::uint32_t &WorkspaceInProgress = InProgressByWorkspace[Sender.Name];
  if (Sender.Concurrency > 0 && WorkspaceInProgress >= Sender.Concurrency)
    return Refusal{Reason::WorkspaceConcurrency, ConcurrencyRetryAfter};
  RateLimit &Rate = Rates[Entry.Name];
  double PerSecond =
      Entry.Limit.RatePerSecond /
      static_cast<double>(std::max<std::size_t>(1, EntryProcesses));
  if (!Rate.tryAcquire(PerSecond, Now))
    return Refusal{Reason::EntryRate, Rate.timeUntilNext(PerSecond)};
  ++WorkspaceInProgress;
  ++InProgress;
  return std::nullopt;
}

void OverloadControl::finished(const core::WorkspaceId &Sender) {
  auto Found = InProgressByWorkspace.find(Sender);
  assert(InProgress > 0 && Found != InProgressByWorkspace.end() &&
         Found->second > 0);
  --InProgress;
  if (--Found->second == 0)
    InProgressByWorkspace.erase(Found);
}

} // namespace rosemarylane::routing
