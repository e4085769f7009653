#ifndef ROSEMARYLANE_CORE_CONFIGURATION_DECISIONS_H
#define ROSEMARYLANE_CORE_CONFIGURATION_DECISIONS_H

#include "core/Catalogue.h"
#include "core/Ids.h"
#include "core/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace rosemarylane::core {

/// Decides whether the entry \p Self reads and watches the stored
/// configuration: one entry of each failure domain does, the first in
/// rendezvous rank among those alive.
///
/// An entry that knows of no other reads for itself.
bool isConfigurationReader(const HostId &Self, const FailureDomainId &Domain,
                           const std::vector<HostId> &LiveEntries);

/// One process's side of the exchange of configurations with its peers: the
/// side behind asks, the side ahead answers, and the higher revision always
/// wins.
class ConfigurationExchange {
public:
  /// What to do on a message.
  enum class Action { Nothing, RequestDocument, SendDocument };

  /// What a message tells of its sender's configuration.
  struct Heard {
    /// The revision in force at the sender.
    std::uint64_t Revision = 0;
    /// For a request of the document: the revision that the asker has.
    std::optional<std::uint64_t> RequesterRevision;
  };

  /// An answer that has not come after this long is asked for again. Until then
  /// only a peer that is further ahead is asked.
  static constexpr std::chrono::milliseconds RequestTimeout{250};

  /// @return the revision in force here; 0 before the first is known.
  std::uint64_t revision() const { return CurrentRevision; }

  /// Decides what to do on a message from a peer.
  Action handleMessage(const Heard &Message, TimePoint Now);

  /// Takes a configuration from any source.
  /// @return whether it is newer, and so in force from now on.
  bool accept(std::uint64_t Revision);

private:
  std::uint64_t CurrentRevision = 0;
  /// When a peer was asked last for a document that has not come, and the
  /// revision that it had.
  std::optional<TimePoint> RequestedAt;
  std::uint64_t RequestedRevision = 0;
};

/// What a workspace may see: operators everything, a caller its own workspace
/// and entries.
Configuration visibleTo(const Workspace &Viewer, const Configuration &Config);

} // namespace rosemarylane::core

#endif // ROSEMARYLANE_CORE_CONFIGURATION_DECISIONS_H
