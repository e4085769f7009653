#include "routing/Router.h"

#include "core/Rendezvous.h"

#include <algorithm>
#include <numeric>
#include <string>

namespace rosemarylane::routing {

namespace {

/// Preference of targets, best first: a rank is used only if no target has a
/// lower one.
enum Rank : std::size_t {
  DomainSlot,
  RegionSlot,
  /// Queues in this failure domain and elsewhere in the region rank the same: a
  /// hop to another domain of the region costs less than waiting.
  RegionQueue,
  FleetSlot,
  FleetQueue,
  /// Offset added to the rank of targets that have recently failed.
  Avoided,
  Unavailable = 2 * Avoided,
};

/// @return the target in \p Among with the highest rendezvous weight for \p
/// Hash. All entry processes that see the same targets agree on it.
std::size_t rendezvousChoice(const std::vector<Router::Target> &Targets,
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
  std::vector<std::size_t> Best = lowestRanked(Targets, Now);
  if (Best.empty())
    return std::nullopt;
  std::size_t A = Best[Draw() % Best.size()];
  std::size_t B = Best[Draw() % Best.size()];
  std::size_t Cheaper = cost(Targets[A]) <= cost(Targets[B]) ? A : B;
  if (PrefixHash == 0)
    return Cheaper;
  std::size_t PrefixTarget = rendezvousChoice(Targets, Best, PrefixHash);
  return prefersPrefixTarget(Targets[PrefixTarget], Targets[Cheaper])
             ? PrefixTarget
             : Cheaper;
}

bool Router::prefersPrefixTarget(const Target &PrefixTarget,
                                 const Target &Cheaper) const {
  // Some slots stay free: other entry processes send to the same target, and
  // waiting for a slot costs more than a cached prefix saves.
  auto Limit =
      static_cast<double>(PrefixTarget.InProgress + PrefixTarget.Slots);
  auto Free = static_cast<double>(PrefixTarget.Slots) -
              static_cast<double>(netSentSinceReport(PrefixTarget));
  return Free > Config.ReservedFraction * Limit &&
         cost(PrefixTarget) * Config.CachedLatencyFactor <= cost(Cheaper);
}

std::optional<std::size_t>
Router::chooseForSuspect(const std::vector<Target> &Targets,
                         std::uint64_t RequestHash) const {
  if (Targets.empty())
    return std::nullopt;
  std::vector<std::size_t> All(Targets.size());
  std::iota(All.begin(), All.end(), std::size_t{0});
  return rendezvousChoice(Targets, All, RequestHash);
}

std::vector<std::size_t>
Router::lowestRanked(const std::vector<Target> &Targets,
                     core::TimePoint Now) const {
  std::vector<std::size_t> Best;
  std::size_t Lowest = Unavailable;
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    std::size_t R = rank(Targets[I], Now);
    if (R < Lowest) {
      Lowest = R;
      Best.clear();
    }
    if (R == Lowest && R != Unavailable)
      Best.push_back(I);
  }
  return Best;
}

std::size_t Router::rank(const Target &T, core::TimePoint Now) const {
  bool Slot = hasCapacity(T, T.Slots);
  if (!Slot && !hasCapacity(T, T.Credits))
    return Unavailable;
  std::size_t R = Slot ? FleetSlot : FleetQueue;
  if (T.Proximity == Distance::FailureDomain)
    R = Slot ? DomainSlot : RegionQueue;
  else if (T.Proximity == Distance::Region)
    R = Slot ? RegionSlot : RegionQueue;
  return localState(T.Host).AvoidUntil > Now ? R + Avoided : R;
}

std::int64_t Router::netSentSinceReport(const Target &T) const {
  const LocalState &L = localState(T.Host);
  return L.InProgress - L.InProgressAtReport;
}

bool Router::hasCapacity(const Target &T, std::uint32_t Reported) const {
  return !localState(T.Host).RefusedSinceReport &&
         static_cast<std::int64_t>(Reported) > netSentSinceReport(T);
}

double Router::cost(const Target &T) const {
  const LocalState &L = localState(T.Host);
  double Latency =
      L.Latency > 0 ? L.Latency
      : T.Latency.count() > 0
          ? static_cast<double>(T.Latency.count())
          : std::chrono::duration<double, std::nano>(Config.DefaultLatency)
                .count();
  double Busy = static_cast<double>(T.InProgress) + T.Waiting +
                static_cast<double>(netSentSinceReport(T));
  double Limit = std::max<double>(1, T.InProgress + T.Slots);
  return Latency * (1 + std::max(0.0, Busy) / Limit);
}

const Router::LocalState &Router::localState(const core::HostId &Host) const {
  static const LocalState None;
  auto Found = LocalStates.find(Host);
  return Found == LocalStates.end() ? None : Found->second;
}

void Router::started(const core::HostId &Host) {
  ++LocalStates[Host].InProgress;
}

void Router::finished(const core::HostId &Host, Outcome Result,
                      std::chrono::nanoseconds Latency, core::TimePoint Now) {
  LocalState &L = LocalStates[Host];
  // The attempt may have started before the target's state was dropped.
  L.InProgress = std::max<std::int64_t>(0, L.InProgress - 1);
  switch (Result) {
  case Outcome::Answered:
    L.AvoidUntil = core::TimePoint();
    if (Latency.count() > 0)
      L.Latency = L.Latency == 0
                      ? static_cast<double>(Latency.count())
                      : L.Latency + Config.Smoothing *
                                        (static_cast<double>(Latency.count()) -
                                         L.Latency);
    break;
  case Outcome::Busy:
    L.RefusedSinceReport = true;
    break;
  case Outcome::Failed:
    L.AvoidUntil = Now + Config.FailureCooldown;
    break;
  case Outcome::Abandoned:
    break;
  }
}

void Router::reported(const core::HostId &Host) {
  auto Found = LocalStates.find(Host);
  if (Found == LocalStates.end())
    return;
  Found->second.InProgressAtReport = Found->second.InProgress;
  Found->second.RefusedSinceReport = false;
}

void Router::forgetTargets(
    const std::function<bool(const core::HostId &)> &Gone) {
  std::erase_if(LocalStates,
                [&](const auto &Item) { return Gone(Item.first); });
}

std::uint32_t Router::inProgress(const core::HostId &Host) const {
  return static_cast<std::uint32_t>(localState(Host).InProgress);
}

} // namespace rosemarylane::routing
