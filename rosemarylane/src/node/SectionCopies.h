#ifndef ROSEMARYLANE_NODE_SECTION_COPIES_H
#define ROSEMARYLANE_NODE_SECTION_COPIES_H

#include "core/BootClock.h"
#include "platform/Records.h"
#include "serving/SectionCopy.h"
#include "serving/StorePosition.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace rosemarylane {

/// Time limit for the body of a section, from the store or a peer, while bytes
/// keep arriving. Shorter than the time within which a change has to be in
/// force.
constexpr std::chrono::milliseconds SectionBodyTimeout{2500};

/// A complete read of one section: of the store, or of a peer's copy.
struct SectionRead {
  serving::StoreSection::Items Items;
  serving::StorePosition At;
  /// When the read of the store was sent, in local time.
  core::BootTime ConfirmedAt{};
  /// When the era of `At` had been seen by somebody, in local time.
  core::BootTime EraSeenAt{};
};

/// What this process knows of the two sections of the store. Value type; not
/// thread-safe.
struct SectionCopies {
  /// @param TargetHeartbeat interval at which targets write their entries.
  explicit SectionCopies(std::chrono::milliseconds TargetHeartbeat)
      : Registry(serving::SectionCopy::Missing::MayHaveLapsed,
                 platform::recordOrder, TargetHeartbeat) {}

  serving::SectionCopy Operators{serving::SectionCopy::Missing::Gone,
                                 platform::recordOrder};
  serving::SectionCopy Registry;

  serving::SectionCopy &of(platform::Section Which) {
    return Which == platform::Section::Operators ? Operators : Registry;
  }

  /// @return the staleness of the section that was confirmed less recently;
  /// absent if one of them has never been read.
  std::optional<std::chrono::milliseconds>
  maxStaleness(core::BootTime Now) const {
    auto First = Operators.section().staleness(Now);
    auto Second = Registry.section().staleness(Now);
    if (!First || !Second)
      return std::nullopt;
    return std::max(*First, *Second);
  }
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_SECTION_COPIES_H
