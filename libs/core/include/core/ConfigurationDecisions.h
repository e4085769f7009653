#ifndef ROSEMARYLANE_CORE_CONFIGURATION_DECISIONS_H
#define ROSEMARYLANE_CORE_CONFIGURATION_DECISIONS_H

#include "core/Catalogue.h"
#include "core/Ids.h"
#include "core/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

/// \file
/// The rules by which a configuration spreads through the fleet: which entry
/// processes read it from the store, how processes synchronize it with each
/// other, and which part of it a workspace may see. Nothing here performs I/O.

namespace rosemarylane::core {

/// Decides whether the entry process on \p Self reads and watches the stored
/// configuration.
///
/// One entry process per failure domain does so: the first in rendezvous rank
/// among the live ones.
/// @param Self the host of the entry process that decides.
/// @param Domain the failure domain of \p Self.
/// @param LiveEntries the hosts of the live entry processes in \p Domain that
/// \p Self knows of, with or without \p Self itself. If empty, \p Self is the
/// reader.
/// @return whether \p Self is the reader.
bool isConfigurationReader(const HostId &Self, const FailureDomainId &Domain,
                           const std::vector<HostId> &LiveEntries);

/// Decides how a process synchronizes its configuration with its peers.
///
/// A process that learns of a higher revision requests the document; a process
/// that receives a request from a peer with a lower revision sends its
/// document. The higher revision always wins.
///
/// Call `handleMessage` for each message from a peer and carry out the action
/// that it returns, and call `accept` for each document received. Performs no
/// I/O and takes the time as an argument. Lives as long as the process; not
/// thread-safe.
class ConfigurationExchange {
public:
  /// The action to take in response to a message.
  enum class Action { Nothing, RequestDocument, SendDocument };

  /// The part of a peer's message that tells which revision the peer has.
  struct RevisionAnnouncement {
    /// The sender's current revision.
    std::uint64_t Revision = 0;
    /// Set only if the message requests the document: the revision that the
    /// sender had when it made the request.
    std::optional<std::uint64_t> RequesterRevision;
  };

  /// A document that has not arrived after this time is requested again. Until
  /// then, only a peer with a still higher revision is asked.
  static constexpr std::chrono::milliseconds RequestTimeout{250};

  /// @return the current revision of this process; 0 before the first
  /// configuration is accepted.
  std::uint64_t revision() const { return CurrentRevision; }

  /// Decides how to respond to a message from a peer.
  /// @return the action to take.
  Action handleMessage(const RevisionAnnouncement &Message, TimePoint Now);

  /// Accepts a configuration from a peer or the store if it is newer than the
  /// current one.
  /// @return whether \p Revision was newer and has become the current revision.
  bool accept(std::uint64_t Revision);

private:
  std::uint64_t CurrentRevision = 0;
  /// Time of the last document request that has not been answered, and the
  /// revision that the peer had.
  std::optional<TimePoint> RequestedAt;
  std::uint64_t RequestedRevision = 0;
};

/// Filters a configuration by the permissions of a workspace.
/// @return all of \p Config for an operator; only its own workspace and entries
/// for a caller.
Configuration visibleTo(const Workspace &Viewer, const Configuration &Config);

} // namespace rosemarylane::core

#endif // ROSEMARYLANE_CORE_CONFIGURATION_DECISIONS_H
