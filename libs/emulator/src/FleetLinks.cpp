#include "FleetLinks.h"

#include "CopyTimes.h"

#include <algorithm>
#include <cstdint>

namespace rosemarylane::emulator {

using core::TimePoint;
using Duration = FleetLinks::Duration;

namespace {

constexpr Duration IntraRegionLatency = std::chrono::microseconds(500);
constexpr Duration InterRegionLatency = std::chrono::milliseconds(1);
/// Time after which a host gives up a connection to an origin that is down.
constexpr Duration OriginFailureDelay = std::chrono::milliseconds(120);

TimePoint transmit(TimePoint &FreeAt, TimePoint Ready, Duration TransmitTime) {
  FreeAt = std::max(FreeAt, Ready) + TransmitTime;
  return FreeAt;
}

} // namespace

FleetLinks::FleetLinks(const FleetSettings &Settings, Duration ChunkTime,
                       TimePoint Start)
    : Settings(Settings), ChunkTime(ChunkTime),
      OriginDownAt(Start + inTime(Settings, Settings.OriginDownAt)),
      OriginBackAt(OriginDownAt + inTime(Settings, Settings.OriginDownFor)),
      RegionFreeAt(Settings.Regions), RegionChunks(Settings.Regions) {}

Duration FleetLinks::latency(std::size_t RegionA, std::size_t RegionB) {
  return RegionA == RegionB ? IntraRegionLatency : InterRegionLatency;
}

Duration FleetLinks::chunkTimeAt(double Rate) const {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(ChunkTime.count()) / Rate));
}

FleetLinks::OriginRead FleetLinks::readOrigin(TimePoint Now) {
  if (Now >= OriginDownAt && Now < OriginBackAt)
    return {false, Now + OriginFailureDelay};
  TimePoint Sent =
      transmit(OriginFreeAt, Now, chunkTimeAt(Settings.OriginRate));
  if (Now < OriginDownAt && Sent > OriginDownAt && Settings.OriginDownFor > 0) {
    OriginFreeAt = OriginBackAt;
    return {false, OriginDownAt};
  }
  ++OriginChunks;
  return {true, Sent + InterRegionLatency};
}

TimePoint FleetLinks::sendIntoRegion(std::size_t Region, TimePoint Now) {
  ++RegionChunks[Region];
  return transmit(RegionFreeAt[Region], Now, chunkTimeAt(Settings.RegionRate));
}

std::size_t FleetLinks::maxRegionChunks() const {
  return *std::max_element(RegionChunks.begin(), RegionChunks.end());
}

} // namespace rosemarylane::emulator
