#include "FleetSummary.h"

#include "CopyTimes.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

namespace rosemarylane::emulator {

FleetResult summarize(const std::deque<FleetHost> &Hosts,
                      const FleetSettings &Settings, core::TimePoint Start) {
  FleetResult R;
  std::size_t Versions = Settings.VersionsNamedAt.size();
  std::vector<double> Times;
  std::size_t Received = 0;
  std::size_t Useful = 0;
  std::size_t LargestSent = 0;
  R.HolderFractions.resize(Versions);
  for (const FleetHost &H : Hosts) {
    for (std::size_t V = 0; V < H.Copies.size(); ++V) {
      Useful += H.Copies[V].Planner->held().count();
      if (H.Copies[V].CompletedAt)
        R.HolderFractions[V] += 1.0 / static_cast<double>(Hosts.size());
    }
    if (H.holdsNewest(Versions))
      Times.push_back(
          inCopyTimes(*H.Copies.back().CompletedAt, Settings, Start) -
          Settings.VersionsNamedAt.back());
    Received += H.Received;
    LargestSent = std::max(LargestSent, H.Sent);
  }
  std::sort(Times.begin(), Times.end());
  if (!Times.empty()) {
    R.P50 = Times[Times.size() / 2];
    R.P95 = Times[Times.size() * 95 / 100];
    R.Max = Times.back();
  }
  R.LargestUpload = inCopies(LargestSent, Settings);
  R.DuplicateFraction =
      static_cast<double>(Received - Useful) / static_cast<double>(Received);
  return R;
}

std::string toString(const FleetResult &R) {
  char Line[200];
  std::snprintf(
      Line, sizeof(Line),
      "copy times: p50 %.3f p95 %.3f max %.3f, copies: origin %.3f largest "
      "upload %.3f largest region %.3f, duplicate fraction %.4f, complete %d",
      R.P50, R.P95, R.Max, R.OriginCopies, R.LargestUpload, R.RegionCopies,
      R.DuplicateFraction, R.Complete);
  return Line;
}

} // namespace rosemarylane::emulator
