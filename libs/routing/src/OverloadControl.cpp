#include "routing/OverloadControl.h"

#include <algorithm>
#include <cassert>

namespace rosemarylane::routing {

namespace {

constexpr std::chrono::milliseconds ConcurrencyRetryAfter{500};
constexpr std::chrono::milliseconds FullRetryAfter{1000};

} // namespace

std::optional<OverloadControl::Refusal>
OverloadControl::tryStart(const core::Workspace &Owner,
                          const core::CatalogueEntry &Entry,
                          std::size_t EntryProcesses, core::TimePoint Now) {
  double Share = Bounds.ClassShare[static_cast<std::size_t>(Entry.Class)];
  if (Running >= Share * Bounds.Capacity)
    return Refusal{Reason::ProcessFull, FullRetryAfter};
  std::uint32_t &OfWorkspace = ByWorkspace[Owner.Name];
  if (Owner.Concurrency > 0 && OfWorkspace >= Owner.Concurrency)
    return Refusal{Reason::WorkspaceConcurrency, ConcurrencyRetryAfter};
  RateLimit &Rate = Rates[Entry.Name];
  double PerSecond =
      Entry.Limit.RatePerSecond /
      static_cast<double>(std::max<std::size_t>(1, EntryProcesses));
  if (!Rate.tryTake(PerSecond, Now))
    return Refusal{Reason::EntryRate, Rate.untilNext(PerSecond)};
  ++OfWorkspace;
  ++Running;
  return std::nullopt;
}

void OverloadControl::finished(const core::WorkspaceId &Owner) {
  auto Found = ByWorkspace.find(Owner);
  assert(Running > 0 && Found != ByWorkspace.end() && Found->second > 0);
  --Running;
  if (--Found->second == 0)
    ByWorkspace.erase(Found);
}

} // namespace rosemarylane::routing
