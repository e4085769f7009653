#ifndef ROSEMARYLANE_CORE_STORED_CONFIGURATION_H
#define ROSEMARYLANE_CORE_STORED_CONFIGURATION_H

#include "core/Catalogue.h"
#include "core/ConfigurationCodec.h"
#include "core/Time.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarylane::core {

/// One change in the configuration's history.
struct ConfigurationChange {
  /// Unique id of the change. A writer that did not receive the store's reply
  /// uses it to check whether its change was committed.
  std::string Id;
  std::uint64_t Revision = 0;
  /// The workspace that made the change.
  WorkspaceId By;
  WallTime At;
  /// The differences, one per line; truncated to a readable number of lines.
  std::vector<std::string> Summary;

  bool operator==(const ConfigurationChange &) const = default;
};

/// The value held by the platform's store: the current configuration and its
/// latest changes.
///
/// Both are kept in one value so that a change and its record in the history
/// are committed atomically. A plain value type.
struct StoredConfiguration {
  Configuration Current;
  /// Oldest first; the last change produced `Current`.
  std::vector<ConfigurationChange> History;

  /// @return the change with the id \p Id, or null if it is not in the history.
  const ConfigurationChange *change(std::string_view Id) const;

  bool operator==(const StoredConfiguration &) const = default;
};

/// The key under which the configuration is stored.
inline constexpr char ConfigurationKey[] = "rosemarylane/configuration";

/// Maximum number of changes kept in the history.
inline constexpr std::size_t MaxHistoryLength = 100;

/// Maximum size of the stored value, in bytes. Less than the 1 MB that the
/// platform's store accepts as one value.
inline constexpr std::size_t MaxStoredBytes = 900 * 1024;

/// Parses the stored value.
/// @param Json the stored value; empty if none has been written, which gives
/// the configuration of revision 0.
Result<StoredConfiguration, DocumentErrors>
parseStoredConfiguration(std::string_view Json);

/// Serializes \p Stored.
/// @return the JSON document that `parseStoredConfiguration` accepts.
std::string formatStoredConfiguration(const StoredConfiguration &Stored);

/// Serializes \p Changes as a JSON array.
std::string formatHistory(const std::vector<ConfigurationChange> &Changes);

/// @return the differences between two configurations, one per line.
std::vector<std::string> describeDifference(const Configuration &Before,
                                            const Configuration &After);

/// Decides whether the store is behind what is in force: it was restored from a
/// copy that is older, or has given the revision in force to another document.
/// False if the store has lost its data, which operators put back themselves.
/// @param InForce the configuration in force at this process.
bool isBehind(const StoredConfiguration &Stored, const Configuration &InForce);

/// @return the configuration that a change has to be based on: \p InForce if
/// the store is behind it, so that no accepted change is taken back.
Configuration newestOf(const StoredConfiguration &Stored,
                       const Configuration &InForce);

/// Makes \p Next the current configuration under the next revision and adds the
/// change to the history.
/// @param Before the stored value that the change is based on.
/// @param Next the new configuration; its `Revision` is ignored.
/// @param Change the change's `Id`, `By` and `At`. On input, its `Revision` is
/// the highest revision that the calling process knows of: if the store has
/// lost its data, this exceeds the stored revision, and the next revision must
/// exceed both so that revisions keep increasing. In the history, `Revision` is
/// replaced by the new revision and `Summary` by the differences.
/// @return the value to store.
StoredConfiguration applyChange(const StoredConfiguration &Before,
                                Configuration Next, ConfigurationChange Change);

/// Parses a document that is to replace the current configuration.
/// @param Json the document. If it has no `out_of_service` key, the hosts and
/// failure domains out of service are taken from \p Current.
Result<Configuration, DocumentErrors>
parseReplacement(std::string_view Json, const Configuration &Current);

/// A request to take a failure domain or a host out of service, or to return it
/// to service. Exactly one of `FailureDomain` and `Host` is set.
struct OutOfServiceRequest {
  std::optional<FailureDomainId> FailureDomain;
  std::optional<HostId> Host;
  /// True to take out of service, false to return to service.
  bool OutOfService = true;

  /// @return \p Config with the request applied.
  Configuration apply(Configuration Config) const;
};

/// Parses `{"failure_domain"|"host": NAME, "out": BOOL}`.
Result<OutOfServiceRequest, DocumentErrors>
parseOutOfServiceRequest(std::string_view Json);

} // namespace rosemarylane::core

#endif // ROSEMARYLANE_CORE_STORED_CONFIGURATION_H
