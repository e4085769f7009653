#include "serving/PlaceForecast.h"

#include <algorithm>
#include <cmath>

namespace rosemarylane::serving {

using std::chrono::milliseconds;

namespace {

/// Time in which what was seen decays to 1/e.
constexpr std::chrono::duration<double> Memory{1.5};
/// Contended time without which nothing is foretold.
constexpr std::chrono::duration<double> MinContendedTime{0.25};
/// Smallest fraction of the places that a class is taken to get, however many
/// of the more urgent start: their rate is known only roughly.
constexpr double MinPlaceFraction = 0.05;
/// The median of a sum of n exponential times is close to n - 1/3 times their
/// mean.
constexpr double MedianShift = 1.0 / 3;
/// Longest time that is foretold.
constexpr std::chrono::duration<double> MaxForecast{60};

} // namespace

void PlaceForecast::advance(core::BootTime Now) {
  if (Now <= UpdatedAt)
    return;
  Seconds Passed = Now - UpdatedAt;
  double Kept = std::exp(-Passed / Memory);
  ContendedTime *= Kept;
  if (anyWaiting())
    ContendedTime += Memory * (1 - Kept);
  ContendedStarts *= Kept;
  for (auto &[Priority, Count] : Starts)
    Count *= Kept;
  UpdatedAt = Now;
}

void PlaceForecast::recordJoin(std::uint32_t Priority, core::BootTime Now) {
  advance(Now);
  ++Waiting[Priority];
}

void PlaceForecast::recordLeave(std::uint32_t Priority, core::BootTime Now) {
  advance(Now);
  auto Found = Waiting.find(Priority);
  if (Found != Waiting.end() && --Found->second == 0)
    Waiting.erase(Found);
}

std::size_t PlaceForecast::waitingBefore(std::uint32_t Priority) const {
  std::size_t Sum = 0;
  auto End = Waiting.upper_bound(Priority);
  for (auto I = Waiting.begin(); I != End; ++I)
    Sum += I->second;
  return Sum;
}

void PlaceForecast::recordStart(std::uint32_t Priority, core::BootTime Now) {
  advance(Now);
  if (anyWaiting())
    ContendedStarts += 1;
  Starts[Priority] += 1;
}

std::optional<milliseconds> PlaceForecast::timeUntil(std::size_t Ahead,
                                                     std::uint32_t Priority,
                                                     core::BootTime Now) const {
  PlaceForecast Current = *this;
  Current.advance(Now);
  if (Current.ContendedTime < MinContendedTime)
    return std::nullopt;
  double MoreUrgent = 0;
  auto End = Current.Starts.lower_bound(Priority);
  for (auto I = Current.Starts.begin(); I != End; ++I)
    MoreUrgent += I->second;
  // One more than was seen: a gateway that has seen none yet may see one soon.
  double PlacesPerSecond =
      (Current.ContendedStarts + 1) / Current.ContendedTime.count();
  double OvertakenPerSecond = MoreUrgent / Memory.count();
  double OwnPerSecond = std::max(PlacesPerSecond - OvertakenPerSecond,
                                 MinPlaceFraction * PlacesPerSecond);
  double PlacesNeeded = static_cast<double>(Ahead) + 1 - MedianShift;
  Seconds Time =
      std::min<Seconds>(Seconds(PlacesNeeded / OwnPerSecond), MaxForecast);
  return std::chrono::ceil<milliseconds>(Time);
}

} // namespace rosemarylane::serving
