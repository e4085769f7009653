#include "serving/VersionPlan.h"

#include <algorithm>

namespace rosemarylane::serving {

using core::BootTime;
using std::chrono::milliseconds;

VersionPlan::VersionPlan(Settings Config, std::uint64_t Loaded,
                         std::vector<KnownVersion> Known)
    : Config(Config), Loaded(Loaded), Known(std::move(Known)) {}

std::uint64_t VersionPlan::versionToFetch(BootTime Now) const {
  if (Known.empty())
    return 0;
  for (const KnownVersion &V : Known)
    if (worthFinishing(V, Now))
      return V.Number;
  const KnownVersion &Newest = Known.back();
  return Newest.Chunks > 0 && !Newest.complete() ? Newest.Number : 0;
}

bool VersionPlan::worthFinishing(const KnownVersion &V, BootTime Now) const {
  const KnownVersion *Next = nextNamed(V.Number);
  bool Useful = Loaded != 0 && V.Number > Loaded && V.NamedAt && Next;
  if (!Useful || V.Chunks == 0 || V.complete())
    return false;
  if (Next->LearntAt - V.LearntAt < MinHeadStart)
    return false;
  return completionTime(V, Now) < timeAfterNaming(*Next, FinishOlderFraction);
}

VersionPlan::LoadPlan VersionPlan::plannedLoad(BootTime Now) const {
  LoadPlan Result;
  for (const KnownVersion &V : Known) {
    // Without half of the chunks, no load of the version is planned, and
    // `NextAt` does not announce one to the gateways.
    bool HalfFetched = V.Chunks > 0 && V.Held * 2 >= V.Chunks;
    bool Progressing = V.complete() || Now - V.LastChunkAt < StallTimeout;
    if (V.Number <= Loaded || !HalfFetched || !Progressing)
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
  BootTime First =
      std::max(timeAfterNaming(V, FirstSwitchFraction), completionTime(V, Now));
  BootTime Last = std::max(timeAfterNaming(V, LastSwitchFraction), First);
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
