#include "routing/Router.h"

#include "core/Rendezvous.h"

#include <algorithm>
#include <numeric>
#include <string>

namespace rosemarylane::routing {

namespace {

/// Orders the targets: a rank is used only if no lower one has a target.
enum Rank : std::size_t {
  NearSlot,
  RegionSlot,
  /// Queues of this failure domain and of its region alike: a hop to a nearby
  /// domain costs less than waiting.
  RegionQueue,
  FleetSlot,
  FleetQueue,
  /// As above, of targets that have just failed.
  Avoided,
  Full = 2 * Avoided,
};

/// The target that a key belongs to: all entries agree on it as long as they
/// see the same targets.
std::size_t preferred(const std::vector<Router::Target> &Targets,
                      const std::vector<std::size_t> &Among,
                      std::uint64_t Hash) {
  std::string Key = std::to_string(Hash);
  return *std::max_element(
      Among.begin(), Among.end(), [&](std::size_t A, std::size_t B) {
        return core::rendezvousWeight(Key, Targets[A].Host.str()) <
               core::rendezvousWeight(Key, Targets[B].Host.str());
      });
}

} // namespace

std::optional<std::size_t> Router::choose(const std::vector<Target> &Targets,
                                          std::uint64_t PrefixHash,
                                          core::TimePoint Now,
                                          const Random &Draw) {
  std::vector<std::size_t> Best = bestRanked(Targets, Now);
  if (Best.empty())
    return std::nullopt;
  std::size_t A = Best[Draw() % Best.size()];
  std::size_t B = Best[Draw() % Best.size()];
  std::size_t Better = cost(Targets[A]) <= cost(Targets[B]) ? A : B;
  if (PrefixHash == 0)
    return Better;
  std::size_t Cached = preferred(Targets, Best, PrefixHash);
  return cachePays(Targets[Cached], Targets[Better]) ? Cached : Better;
}

bool Router::cachePays(const Target &Cached, const Target &Better) const {
  // The last slots are left free: other entries send there too, and a cached
  // prefix saves less than waiting costs.
  auto Limit = static_cast<double>(Cached.InProgress + Cached.Slots);
  auto Free = static_cast<double>(Cached.Slots) -
              static_cast<double>(sentSince(Cached));
  return Free > Bounds.SpareSlots * Limit &&
         cost(Cached) * Bounds.CachedPart <= cost(Better);
}

std::optional<std::size_t>
Router::chooseForSuspect(const std::vector<Target> &Targets,
                         std::uint64_t RequestHash) const {
  if (Targets.empty())
    return std::nullopt;
  std::vector<std::size_t> All(Targets.size());
  std::iota(All.begin(), All.end(), std::size_t{0});
  return preferred(Targets, All, RequestHash);
}

std::vector<std::size_t> Router::bestRanked(const std::vector<Target> &Targets,
                                            core::TimePoint Now) const {
  std::vector<std::size_t> Best;
  std::size_t Lowest = Full;
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    std::size_t R = rank(Targets[I], Now);
    if (R < Lowest) {
      Lowest = R;
      Best.clear();
    }
    if (R == Lowest && R != Full)
      Best.push_back(I);
  }
  return Best;
}

std::size_t Router::rank(const Target &T, core::TimePoint Now) const {
  bool Slot = hasRoom(T, T.Slots);
  if (!Slot && !hasRoom(T, T.Credits))
    return Full;
  std::size_t R = Slot ? FleetSlot : FleetQueue;
  if (T.Where == Distance::FailureDomain)
    R = Slot ? NearSlot : RegionQueue;
  else if (T.Where == Distance::Region)
    R = Slot ? RegionSlot : RegionQueue;
  return local(T.Host).AvoidUntil > Now ? R + Avoided : R;
}

std::int64_t Router::sentSince(const Target &T) const {
  const Local &L = local(T.Host);
  return L.InProgress - L.AtReport;
}

bool Router::hasRoom(const Target &T, std::uint32_t Reported) const {
  return !local(T.Host).Full &&
         static_cast<std::int64_t>(Reported) > sentSince(T);
}

double Router::cost(const Target &T) const {
  const Local &L = local(T.Host);
  double Latency =
      L.Latency > 0 ? L.Latency
      : T.Latency.count() > 0
          ? static_cast<double>(T.Latency.count())
          : std::chrono::duration<double, std::nano>(Bounds.UnknownLatency)
                .count();
  double Busy = static_cast<double>(T.InProgress) + T.Waiting +
                static_cast<double>(sentSince(T));
  double Limit = std::max<double>(1, T.InProgress + T.Slots);
  return Latency * (1 + std::max(0.0, Busy) / Limit);
}

const Router::Local &Router::local(const core::HostId &Host) const {
  static const Local None;
  auto Found = Locals.find(Host);
  return Found == Locals.end() ? None : Found->second;
}

void Router::started(const core::HostId &Host) { ++Locals[Host].InProgress; }

void Router::finished(const core::HostId &Host, Outcome How,
                      std::chrono::nanoseconds Latency, core::TimePoint Now) {
  Local &L = Locals[Host];
  // A target that was forgotten meanwhile has nothing left in progress.
  L.InProgress = std::max<std::int64_t>(0, L.InProgress - 1);
  switch (How) {
  case Outcome::Answered:
    L.AvoidUntil = core::TimePoint();
    if (Latency.count() > 0)
      L.Latency = L.Latency == 0
                      ? static_cast<double>(Latency.count())
                      : L.Latency + Bounds.Smoothing *
                                        (static_cast<double>(Latency.count()) -
                                         L.Latency);
    break;
  case Outcome::Busy:
    L.Full = true;
    break;
  case Outcome::Failed:
    L.AvoidUntil = Now + Bounds.FailureRest;
    break;
  case Outcome::Abandoned:
    break;
  }
}

void Router::reported(const core::HostId &Host) {
  auto Found = Locals.find(Host);
  if (Found == Locals.end())
    return;
  Found->second.AtReport = Found->second.InProgress;
  Found->second.Full = false;
}

void Router::forgetIf(const std::function<bool(const core::HostId &)> &Gone) {
  std::erase_if(Locals, [&](const auto &Item) { return Gone(Item.first); });
}

std::uint32_t Router::inProgress(const core::HostId &Host) const {
  return static_cast<std::uint32_t>(local(Host).InProgress);
}

} // namespace rosemarylane::routing
