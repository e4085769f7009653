#ifndef ROSEMARYLANE_CORE_CONFIGURATION_DECISIONS_H
#define ROSEMARYLANE_CORE_CONFIGURATION_DECISIONS_H

#include "core/Catalogue.h"
#include "core/Ids.h"

#include <cstdint>
#include <vector>

namespace rosemarylane::core {

/// Decides whether the entry \p Self reads and watches the stored
/// configuration: one entry of each failure domain does, the first in
/// rendezvous rank among those alive.
///
/// An entry that knows of no other reads for itself.
bool readsStore(const HostId &Self, const FailureDomainId &Domain,
                const std::vector<HostId> &LiveEntries);

/// What one side of an exchange of configurations does next.
enum class ExchangeStep { Nothing, Ask, SendDocument };

/// Decides what to do on a message from a peer: the side behind asks, and the
/// side ahead answers.
/// @param Asked whether the message is a request for the document.
/// @param Known the revision that the asker has; used only if \p Asked.
ExchangeStep exchangeStep(std::uint64_t Own, std::uint64_t OfPeer, bool Asked,
                          std::uint64_t Known);

/// What a workspace may see: operators everything, a caller its own workspace
/// and entries.
Configuration visibleTo(const Workspace &Viewer, const Configuration &Config);

} // namespace rosemarylane::core

#endif // ROSEMARYLANE_CORE_CONFIGURATION_DECISIONS_H
