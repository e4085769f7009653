#ifndef ROSEMARYLANE_SERVING_DEMAND_CLASS_H
#define ROSEMARYLANE_SERVING_DEMAND_CLASS_H

#include "serving/LoadBalancer.h"

#include <bit>
#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace rosemarylane::serving {

/// Requests of one service that may use the same targets.
///
/// If one of them finds no free slot, the others of its class need not be
/// tried. Expected durations matter at targets that are about to switch
/// versions, prompts and priorities where first events are foreseen; similar
/// ones are in the same class, so that there are few. Value type.
class DemandClass {
public:
  explicit DemandClass(const TargetRequirements &Demand)
      : AllowedRegions(Demand.AllowedRegions), Model(Demand.Model),
        ExactVersion(Demand.ExactVersion),
        DurationClass(durationClass(Demand.ExpectedDuration)),
        PromptClass(promptClass(Demand.PromptTokens)),
        Priority(Demand.Priority) {
    if (Demand.Tried)
      Tried = *Demand.Tried;
  }

  auto operator<=>(const DemandClass &) const = default;

private:
  /// Durations below this are in one class; from there on, a class reaches to
  /// twice its shortest duration.
  static constexpr std::chrono::milliseconds ShortestDuration{250};

  static int durationClass(std::chrono::milliseconds Duration) {
    auto Multiple = static_cast<std::uint64_t>(Duration / ShortestDuration);
    return static_cast<int>(std::bit_width(Multiple));
  }

  /// The same for prompts.
  static constexpr std::uint32_t ShortestPrompt = 512;

  static int promptClass(std::uint32_t Tokens) {
    return std::bit_width(Tokens / ShortestPrompt);
  }

  std::vector<core::RegionId> AllowedRegions;
  std::string Model;
  std::uint64_t ExactVersion;
  int DurationClass;
  int PromptClass;
  std::uint32_t Priority;
  std::vector<TargetId> Tried;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_DEMAND_CLASS_H
