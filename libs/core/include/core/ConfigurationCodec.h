#ifndef ROSEMARYLANE_CORE_CONFIGURATION_CODEC_H
#define ROSEMARYLANE_CORE_CONFIGURATION_CODEC_H

#include "core/Catalogue.h"
#include "core/Result.h"

#include <string>
#include <string_view>
#include <vector>

namespace rosemarylane::core {

/// One thing wrong with a document.
struct DocumentError {
  /// The JSON path of the value, for example `$.entries[2].limits.queue`.
  std::string Path;
  /// The value found, as JSON, cut to a readable length.
  std::string Found;
  /// What was expected there.
  std::string Expected;

  bool operator==(const DocumentError &) const = default;
};

/// Everything wrong with a document, never empty when returned as an error.
using DocumentErrors = std::vector<DocumentError>;

/// Parses and checks a configuration document; all errors are returned at once.
Result<Configuration, DocumentErrors> parseConfiguration(std::string_view Json);

/// Writes \p Config as the JSON document that `parseConfiguration` reads.
std::string formatConfiguration(const Configuration &Config);

} // namespace rosemarylane::core

#endif // ROSEMARYLANE_CORE_CONFIGURATION_CODEC_H
