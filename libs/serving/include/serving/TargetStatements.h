#ifndef ROSEMARYLANE_SERVING_TARGET_STATEMENTS_H
#define ROSEMARYLANE_SERVING_TARGET_STATEMENTS_H

#include "core/BootClock.h"
#include "serving/RegisteredTarget.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>

namespace rosemarylane::serving {

/// Where a statement of a target was heard.
enum class StatementSource {
  /// In an answer of the target to this process.
  Answer,
  /// In the target's entry in the registry.
  Registry,
  /// In a report of the sidecar beside the target.
  Sidecar,
};

/// What targets have said of themselves: that they leave, and for how long they
/// want no requests from this process.
///
/// Kept for each incarnation and apart from the registered targets, because a
/// copy of the registry may be older than a statement, and an entry may vanish
/// and return. An incarnation that leaves does so for good, and a pause is
/// never shortened. A start time of 0 stands for any incarnation of its target.
/// Value type without a clock of its own; not thread-safe.
class TargetStatements {
public:
  /// What an incarnation has said is kept for so long after it was last
  /// mentioned.
  static constexpr std::chrono::minutes Retention{10};
  /// Above this, what was not mentioned for the longest time is forgotten.
  static constexpr std::size_t MaxIncarnations = 8192;

  /// @return whether it was not known before.
  bool recordLeaving(const TargetIncarnation &Target, core::BootTime Now);

  /// Records that \p Target wants no requests for \p Duration.
  /// @return whether this begins a pause: none was in force.
  bool recordPause(const TargetIncarnation &Target,
                   std::chrono::milliseconds Duration, core::BootTime Now);

  /// Records that \p Target is registered.
  void mention(const TargetIncarnation &Target, core::BootTime Now);

  /// Forgets the incarnations that were not mentioned for `Retention` and
  /// whose pause is over.
  void forgetUnmentioned(core::BootTime Now);

  bool isLeaving(const TargetIncarnation &Target) const;

  /// @return the end of the pause of \p Target; empty if none is in force.
  std::optional<core::BootTime> pausedUntil(const TargetIncarnation &Target,
                                            core::BootTime Now) const;

  /// @return the number of incarnations of which something is known.
  std::size_t size() const { return Statements.size(); }

private:
  struct Statement {
    bool Leaving = false;
    core::BootTime PausedUntil{};
    core::BootTime MentionedAt{};
  };

  Statement &statementOf(const TargetIncarnation &Target, core::BootTime Now);
  template <typename Visitor>
  void visit(const TargetIncarnation &Target, Visitor Visit) const;

  std::map<TargetIncarnation, Statement> Statements;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_TARGET_STATEMENTS_H
