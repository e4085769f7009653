#ifndef ROSEMARYLANE_NODE_REGISTRY_CHANGE_H
#define ROSEMARYLANE_NODE_REGISTRY_CHANGE_H

#include "serving/RegisteredTarget.h"
#include "serving/StorePosition.h"
#include "serving/StoreSection.h"

#include <string>
#include <vector>

namespace rosemarylane {

/// What a read of the registry, a peer's copy, or the end of a retention has
/// changed about which targets may be used.
struct RegistryChange {
  /// Targets that are registered now and were not before.
  std::vector<serving::TargetId> Added;
  /// Targets that are leaving now and were not before.
  std::vector<serving::TargetId> Leaving;
  /// Targets that were leaving and are not any more.
  std::vector<serving::TargetId> ReadyAgain;
  /// Targets that were registered and are not any more.
  std::vector<serving::TargetId> Gone;

  bool empty() const {
    return Added.empty() && Leaving.empty() && ReadyAgain.empty() &&
           Gone.empty();
  }
};

/// Decodes only the items that differ.
RegistryChange compareRegistries(const serving::StoreSection::Items &Old,
                                 const serving::StoreSection::Items &New);

/// Logs \p Change as one line, which names a limited number of targets.
/// @param Source `store`, the IP address of the peer, or `retention ended`.
void logRegistryChange(const RegistryChange &Change, serving::StorePosition At,
                       const std::string &Source);

/// Logs which entries \p Read does not hold and \p Retained does, if any, as
/// one line that names a limited number of them.
void logRetainedEntries(const serving::StoreSection::Items &Read,
                        const serving::StoreSection::Items &Retained,
                        serving::StorePosition At);

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_REGISTRY_CHANGE_H
