#ifndef ROSEMARYLANE_SERVING_LOAD_VERDICTS_H
#define ROSEMARYLANE_SERVING_LOAD_VERDICTS_H

#include "core/BootClock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace rosemarylane::serving {

/// What the sidecar beside a target has found of the load that one order began.
/// It holds until the next order, whoever runs by then.
struct LoadVerdict {
  /// Identifies the incarnation of the target.
  std::int64_t StartTimeMs = 0;
  /// Orders that the incarnation had begun, with the one that began the load.
  std::int64_t Orders = 0;
  std::uint64_t Version = 0;
  /// All layers were taken from whole chunks; otherwise that can't be shown any
  /// more.
  bool Whole = false;

  bool operator==(const LoadVerdict &) const = default;
};

/// Keeps the last verdict on each target, for a sidecar that starts beside it.
///
/// A gateway owns one for its lifetime. Value type without a clock of its own;
/// not thread-safe.
class LoadVerdicts {
public:
  /// A verdict that was not given again for so long is forgotten.
  static constexpr std::chrono::minutes Lifetime{10};

  /// Takes a verdict on the target at \p Address. One on an earlier order of
  /// the same incarnation is ignored, and a load once known to be whole stays
  /// so.
  void record(const std::string &Address, const LoadVerdict &Given,
              core::BootTime Now);

  /// @return the verdict on the load that the order with the number \p Orders
  /// began; empty if it is not known.
  std::optional<LoadVerdict> find(const std::string &Address,
                                  std::int64_t StartTimeMs,
                                  std::int64_t Orders) const;

private:
  struct Entry {
    LoadVerdict Given;
    core::BootTime RecordedAt;
  };

  std::map<std::string, Entry> Entries;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_LOAD_VERDICTS_H
