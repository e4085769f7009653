#ifndef ROSEMARYLANE_SWARM_CLASS_SCHEDULER_H
#define ROSEMARYLANE_SWARM_CLASS_SCHEDULER_H

#include "core/Catalogue.h"
#include "core/Digest.h"

#include <cstdint>
#include <map>

namespace rosemarylane::swarm {

/// Shares a link between versions by the class of their entries: start-time
/// fair queueing with a weight for each class.
class ClassScheduler {
public:
  /// Counts \p Bytes of \p Version as sent.
  void charge(const core::Digest &Version, core::TrafficClass Class,
              std::uint64_t Bytes);

  /// @return a number that is lowest for the version whose turn it is.
  double startTag(const core::Digest &Version) const;

  void forget(const core::Digest &Version) { Finish.erase(Version); }

  /// The part of the link that a class gets in relation to others.
  static double weight(core::TrafficClass Class);

private:
  /// The start of the service given last: newcomers begin here.
  double VirtualTime = 0;
  std::map<core::Digest, double> Finish;
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_CLASS_SCHEDULER_H
