#ifndef ROSEMARYLANE_CORE_CONFIGURATION_CODEC_H
#define ROSEMARYLANE_CORE_CONFIGURATION_CODEC_H

#include "core/Catalogue.h"
#include "core/Result.h"

#include <string>
#include <string_view>
#include <vector>

namespace rosemarylane::core {

/// One violation found in a JSON document.
struct DocumentError {
  /// JSON path of the value, for example `$.entries[2].limits.queue`.
  std::string Path;
  /// The value found, as JSON; see `truncatedJson`.
  std::string Found;
  /// Description of the expected value.
  std::string Expected;

  bool operator==(const DocumentError &) const = default;
};

/// All violations found in a document. Never empty when returned as an error.
using DocumentErrors = std::vector<DocumentError>;

/// Parses and validates a configuration document.
/// @param Json the document; see `ConfigurationSchema` for its format.
/// @return the configuration, or all violations at once.
Result<Configuration, DocumentErrors> parseConfiguration(std::string_view Json);

/// Serializes \p Config.
/// @return the JSON document that `parseConfiguration` accepts.
std::string formatConfiguration(const Configuration &Config);

} // namespace rosemarylane::core

#endif // ROSEMARYLANE_CORE_CONFIGURATION_CODEC_H
