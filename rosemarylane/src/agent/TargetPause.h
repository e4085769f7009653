#ifndef ROSEMARYLANE_AGENT_TARGET_PAUSE_H
#define ROSEMARYLANE_AGENT_TARGET_PAUSE_H

#include "serving/TargetStatements.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

namespace rosemarylane {

/// How long an agent's target has said that it wants no requests.
///
/// On the control duty.
class TargetPause {
public:
  /// @param Address address of the target.
  explicit TargetPause(std::string Address)
      : Own{serving::TargetId(std::move(Address)), 0} {}

  /// Records that the target wants no requests for \p Duration.
  void begin(std::chrono::milliseconds Duration);

  /// @return how long the target still wants no requests; 0 if it takes some.
  std::chrono::milliseconds left() const;

  /// @return the time that an entry is told to wait after a refusal as busy.
  std::uint32_t retryAfterMs() const;

private:
  /// What the target has said of itself. A restart is not told apart.
  serving::TargetStatements Said;
  const serving::TargetIncarnation Own;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_AGENT_TARGET_PAUSE_H
