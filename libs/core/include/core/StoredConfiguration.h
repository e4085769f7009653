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

/// One change of the configuration, as kept in its history.
struct ConfigurationChange {
  /// Names the change, so that a writer whose answer was lost finds it again.
  std::string Id;
  std::uint64_t Revision = 0;
  /// The workspace that made it.
  WorkspaceId By;
  WallTime At;
  /// What changed, one line each; cut to a readable length.
  std::vector<std::string> Summary;

  bool operator==(const ConfigurationChange &) const = default;
};

/// What the platform's service holds: the configuration in force and its latest
/// changes, in one value, so that a change and its record are written together.
struct StoredConfiguration {
  Configuration Current;
  /// Oldest first, the last one led to `Current`.
  std::vector<ConfigurationChange> History;

  /// @return the change with that id, if the history still has it.
  const ConfigurationChange *findChange(std::string_view Id) const;

  bool operator==(const StoredConfiguration &) const = default;
};

/// The key under which the configuration is stored.
inline constexpr char ConfigurationKey[] = "rosemarylane/configuration";

/// Changes kept in the history.
inline constexpr std::size_t MaxHistoryLength = 100;

/// The platform's service takes values up to a megabyte; a configuration stays
/// well below.
inline constexpr std::size_t MaxStoredBytes = 900 * 1024;

/// Parses the stored value; an empty one is the configuration of revision 0.
Result<StoredConfiguration, DocumentErrors>
parseStoredConfiguration(std::string_view Json);

std::string formatStoredConfiguration(const StoredConfiguration &Stored);

/// Writes \p Changes as a JSON array.
std::string formatHistory(const std::vector<ConfigurationChange> &Changes);

/// @return what differs between two configurations, one line each.
std::vector<std::string> describeDifference(const Configuration &Before,
                                            const Configuration &After);

/// Makes \p Next the configuration in force under the next revision, and
/// records the change.
/// @param Change its `Summary` is filled in. Its `Revision` is one known to be
/// in force and becomes the new one: it is above the stored one only if the
/// store has lost its data, and then keeps revisions rising.
StoredConfiguration applyChange(const StoredConfiguration &Before,
                                Configuration Next, ConfigurationChange Change);

/// Parses a document that an operator wants to put in force. A document without
/// `out_of_service` leaves what is out of service as it is.
Result<Configuration, DocumentErrors>
parseReplacement(std::string_view Json, const Configuration &Current);

/// A failure domain or a host to take out of service or bring back.
struct OutOfServiceRequest {
  std::optional<FailureDomainId> FailureDomain;
  std::optional<HostId> Host;
  bool Out = true;

  /// @return \p Config with the order carried out.
  Configuration apply(Configuration Config) const;
};

/// Parses `{"failure_domain"|"host": NAME, "out": BOOL}`.
Result<OutOfServiceRequest, DocumentErrors>
parseOutOfServiceRequest(std::string_view Json);

} // namespace rosemarylane::core

#endif // ROSEMARYLANE_CORE_STORED_CONFIGURATION_H
