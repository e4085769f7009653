#ifndef ROSEMARYLANE_SWARM_CLASS_SHARE_H
#define ROSEMARYLANE_SWARM_CLASS_SHARE_H

#include "core/Catalogue.h"
#include "core/Digest.h"

#include <cstdint>
#include <map>

namespace rosemarylane::swarm {

/// Shares a link between versions by the traffic class of their entries, using
/// start-time fair queueing with a weight for each class.
///
/// Usage: serve the version with the lowest `startTag`, then `charge` it with
/// the bytes sent. Not thread-safe.
class ClassShare {
public:
  /// Records \p Bytes of \p Version as sent and advances the virtual time.
  void charge(const core::Digest &Version, core::TrafficClass Class,
              std::uint64_t Bytes);

  /// @return the virtual start time of the version's next transfer; the version
  /// with the lowest one is served next.
  double startTag(const core::Digest &Version) const;

  /// Drops the state of \p Version.
  void forget(const core::Digest &Version) { FinishTags.erase(Version); }

  /// @return the share of the link that a class gets, relative to other
  /// classes.
  static double weight(core::TrafficClass Class);

private:
  /// Virtual start time of the latest transfer. A new version starts here, so
  /// that it gets no credit for the time before.
  double VirtualTime = 0;
  /// Virtual finish time of each version's latest transfer.
  std::map<core::Digest, double> FinishTags;
};

} // namespace rosemarylane::swarm

#endif // ROSEMARYLANE_SWARM_CLASS_SHARE_H
