#ifndef ROSEMARYLANE_SERVING_FAIR_SHARE_H
#define ROSEMARYLANE_SERVING_FAIR_SHARE_H

#include "core/BootClock.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace rosemarylane::serving {

/// Requests that share room among themselves: those of one workspace with one
/// priority.
struct ShareKey {
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  std::string Workspace;

  auto operator<=>(const ShareKey &) const = default;
};

/// Virtual times of weighted start-time fair queueing with a short memory.
///
/// The virtual time of a share is the room that it has used lately, divided by
/// the room that it has asked for lately. The share with the smallest one is
/// next, so that under contention each gets the same part of what it asks for.
/// Demand is remembered for longer than use: a share that suddenly asks for
/// more is measured by what it asked for before. Where no demand is recorded,
/// all shares weigh the same.
///
/// Both amounts decay exponentially. All shares decay alike, so their order
/// does not change with time; amounts are kept in the scale of a common epoch
/// and grow instead. Shares that are idle are forgotten. Not thread-safe.
class FairShare {
public:
  struct Settings {
    /// Time after which use counts for 1/e.
    std::chrono::milliseconds UseMemory{3000};
    /// Time after which demand counts for 1/e; longer than `UseMemory`.
    std::chrono::milliseconds DemandMemory{20000};
  };

  FairShare() = default;
  explicit FairShare(Settings Memory) : Memory(Memory) {}

  /// Records that a request arrived, whatever becomes of it.
  /// @param Cost what it costs a target, in any unit that is common to all;
  /// positive.
  void recordDemand(const ShareKey &Key, double Cost, core::BootTime Now);

  /// Records that a request has started.
  void recordUse(const ShareKey &Key, double Cost, core::BootTime Now);

  /// @param Further cost of requests that would start before.
  /// @return the virtual time of \p Key after these, as of the last call that
  /// recorded something. Comparable with those of other shares until the next
  /// one.
  double virtualTime(const ShareKey &Key, double Further) const;

  /// @return the number of shares that are remembered.
  std::size_t size() const { return Shares.size(); }

private:
  struct Share {
    /// Both in the scale of `Epoch`.
    double Used = 0;
    double Asked = 0;
    core::BootTime LastSeen;
  };

  /// Weight of a share whose demand is not known, as an amount of cost.
  static constexpr double MinDemand = 1;
  /// A share is forgotten after this multiple of `DemandMemory`.
  static constexpr int MemoriesKept = 8;
  /// The epoch moves after this multiple of `UseMemory`, long before the scale
  /// could exceed what a double holds.
  static constexpr int MemoriesPerEpoch = 8;

  Share &seen(const ShareKey &Key, core::BootTime Now);
  void advance(core::BootTime Now);
  void moveEpoch();

  Settings Memory;
  core::BootTime Epoch;
  core::BootTime Latest;
  /// Growth of an amount that is recorded at `Latest`.
  double UseScale = 1;
  double DemandScale = 1;
  std::map<ShareKey, Share> Shares;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_FAIR_SHARE_H
