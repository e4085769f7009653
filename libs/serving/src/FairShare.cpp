#include "serving/FairShare.h"

#include <algorithm>
#include <cmath>

namespace rosemarylane::serving {

using core::BootTime;

namespace {

/// @return the growth over \p Time of an amount that is remembered for
/// \p Memory.
double growth(BootTime::duration Time, std::chrono::milliseconds Memory) {
  using Seconds = std::chrono::duration<double>;
  return std::exp(Seconds(Time) / Seconds(Memory));
}

} // namespace

void FairShare::recordDemand(const ShareKey &Key, double Cost, BootTime Now) {
  advance(Now);
  seen(Key, Now).Asked += Cost * DemandScale;
}

void FairShare::recordUse(const ShareKey &Key, double Cost, BootTime Now) {
  advance(Now);
  seen(Key, Now).Used += Cost * UseScale;
}

double FairShare::virtualTime(const ShareKey &Key, double Further) const {
  double Used = Further * UseScale;
  double Asked = 0;
  auto Found = Shares.find(Key);
  if (Found != Shares.end()) {
    Used += Found->second.Used;
    Asked = Found->second.Asked;
  }
  return Used / std::max(Asked, MinDemand * DemandScale);
}

FairShare::Share &FairShare::seen(const ShareKey &Key, BootTime Now) {
  Share &Seen = Shares[Key];
  Seen.LastSeen = std::max(Seen.LastSeen, Now);
  return Seen;
}

void FairShare::advance(BootTime Now) {
  if (Shares.empty())
    Epoch = Latest = Now;
  Latest = std::max(Latest, Now);
  if (Latest - Epoch > Memory.UseMemory * MemoriesPerEpoch)
    moveEpoch();
  UseScale = growth(Latest - Epoch, Memory.UseMemory);
  DemandScale = growth(Latest - Epoch, Memory.DemandMemory);
}

void FairShare::moveEpoch() {
  std::erase_if(Shares, [this](const auto &Entry) {
    return Latest - Entry.second.LastSeen > Memory.DemandMemory * MemoriesKept;
  });
  double UseShrinks = growth(Epoch - Latest, Memory.UseMemory);
  double DemandShrinks = growth(Epoch - Latest, Memory.DemandMemory);
  for (auto &[Key, Kept] : Shares) {
    Kept.Used *= UseShrinks;
    Kept.Asked *= DemandShrinks;
  }
  Epoch = Latest;
}

} // namespace rosemarylane::serving
