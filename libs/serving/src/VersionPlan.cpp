#include "serving/VersionPlan.h"

#include <algorithm>

namespace rosemarylane::serving {

using core::BootTime;
using std::chrono::milliseconds;

VersionPlan::VersionPlan(Settings Config, std::uint64_t Loaded,
                         std::vector<KnownVersion> Known)
    : Config(Config), Loaded(Loaded), Known(std::move(Known)) {}

std::vector<std::uint64_t> VersionPlan::versionsToFetch(BootTime Now) const {
  std::vector<std::uint64_t> Result;
  if (Known.empty())
    return Result;
  const KnownVersion &Newest = Known.back();
  if (Newest.Chunks > 0 && !Newest.complete())
    Result.push_back(Newest.Number);
  auto Older =
      std::find_if(Known.rbegin(), Known.rend(), [&](const KnownVersion &V) {
        return worthFinishing(V, Now);
      });
  if (Older != Known.rend())
    Result.push_back(Older->Number);
  return Result;
}

bool VersionPlan::worthFinishing(const KnownVersion &V, BootTime Now) const {
  const KnownVersion *Next = nextNamed(V.Number);
  bool Useful = Loaded != 0 && V.Number > Loaded && V.NamedAt && Next;
  if (!Useful || V.Chunks == 0 || V.complete())
    return false;
  if (Next->LearntAt - V.LearntAt < MinHeadStart ||
      Now - V.LastChunkAt > FinishStallTimeout)
    return false;
  return completionTime(V, Now) < timeAfterNaming(*Next, FinishOlderFraction);
}

VersionPlan::LoadPlan VersionPlan::plannedLoad(BootTime Now) const {
  LoadPlan Result;
  for (const KnownVersion &V : Known) {
    if (!canPlanLoad(V, Now) || isSkipped(V, Now))
      continue;
    BootTime SwitchTime = switchTime(V, Now);
    if (V.complete() && Now >= SwitchTime)
      Result.Now = V.Number;
    else if (!Result.NextAt)
      Result.NextAt = SwitchTime;
  }
  if (Result.Now != 0)
    Result.NextAt.reset();
  return Result;
}

bool VersionPlan::isProgressing(const KnownVersion &V, BootTime Now) {
  return V.complete() || Now - V.LastChunkAt < StallTimeout;
}

bool VersionPlan::canPlanLoad(const KnownVersion &V, BootTime Now) const {
  // Without half of the chunks, no load of the version is planned, and `NextAt`
  // does not announce one to the gateways.
  bool HalfFetched = V.Chunks > 0 && V.Held * 2 >= V.Chunks;
  return V.Number > Loaded && HalfFetched && isProgressing(V, Now);
}

bool VersionPlan::isSkipped(const KnownVersion &V, BootTime Now) const {
  const KnownVersion *Next = nextNamed(V.Number);
  if (Next && Now >= timeAfterNaming(*Next, 1))
    return true;
  const KnownVersion *FirstDue = nextNamed(Loaded);
  if (Loaded == 0 || !FirstDue)
    return false;
  BootTime OutOfUseAt = timeAfterNaming(*FirstDue, 1);
  return std::any_of(Known.begin(), Known.end(), [&](const KnownVersion &W) {
    return W.Number > V.Number && W.complete() &&
           switchTime(W, Now) < OutOfUseAt;
  });
}

bool VersionPlan::isLate(BootTime Now) const {
  if (Known.empty())
    return false;
  const KnownVersion &Newest = Known.back();
  if (Newest.Chunks == 0 || Newest.complete())
    return false;
  std::uint64_t Usable = Loaded;
  for (const KnownVersion &V : Known)
    if (V.complete())
      Usable = std::max(Usable, V.Number);
  const KnownVersion *Next = nextNamed(Usable);
  return Next && completionTime(Newest, Now) > timeAfterNaming(*Next, 1);
}

bool VersionPlan::cannotServe(BootTime Now) const {
  const KnownVersion *Next = nextNamed(Loaded);
  return Loaded == 0 || (Next && Now >= timeAfterNaming(*Next, 1));
}

BootTime VersionPlan::switchTime(const KnownVersion &V, BootTime Now) const {
  // A target that cannot serve yet loses no requests by loading immediately. A
  // version without `NamedAt` has no activation delay over which the targets'
  // switches could be spread.
  if (Loaded == 0 || !V.NamedAt)
    return BootTime();
  // The loaded version goes out of use when the oldest newer one takes effect.
  const KnownVersion *FirstDue = nextNamed(Loaded);
  if (!FirstDue || FirstDue->Number > V.Number)
    FirstDue = &V;
  BootTime First = std::max(timeAfterNaming(*FirstDue, FirstSwitchFraction),
                            completionTime(V, Now));
  BootTime Last =
      std::max(timeAfterNaming(*FirstDue, LastSwitchFraction), First);
  double Position =
      V.SwitchingTargets > 1
          ? static_cast<double>(std::min(V.Rank, V.SwitchingTargets - 1)) /
                static_cast<double>(V.SwitchingTargets - 1)
          : 0;
  return First +
         std::chrono::duration_cast<milliseconds>((Last - First) * Position);
}

BootTime VersionPlan::completionTime(const KnownVersion &V,
                                     BootTime Now) const {
  if (V.complete())
    return V.LastChunkAt;
  double Missing =
      1 - static_cast<double>(V.Held) /
              static_cast<double>(std::max<std::size_t>(V.Chunks, 1));
  return Now + std::chrono::duration_cast<milliseconds>(Config.TransferTime *
                                                        Missing);
}

const KnownVersion *VersionPlan::nextNamed(std::uint64_t After) const {
  for (const KnownVersion &V : Known)
    if (V.Number > After && V.NamedAt)
      return &V;
  return nullptr;
}

BootTime VersionPlan::timeAfterNaming(const KnownVersion &V,
                                      double Fraction) const {
  return *V.NamedAt + std::chrono::duration_cast<milliseconds>(
                          Config.ActivationDelay * Fraction);
}

} // namespace rosemarylane::serving
