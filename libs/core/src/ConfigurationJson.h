#ifndef ROSEMARYLANE_CORE_CONFIGURATION_JSON_H
#define ROSEMARYLANE_CORE_CONFIGURATION_JSON_H

#include "core/ConfigurationCodec.h"

#include <boost/json/value.hpp>

namespace rosemarylane::core {

/// Reads a configuration from a parsed document; otherwise the same as
/// `parseConfiguration`.
Result<Configuration, DocumentErrors>
readConfigurationJson(const boost::json::value &Document);

/// Converts \p Config to a JSON value; otherwise the same as
/// `formatConfiguration`.
boost::json::object writeConfigurationJson(const Configuration &Config);

/// Converts one catalogue entry to its form in a configuration document.
boost::json::object writeEntryJson(const CatalogueEntry &Entry);

} // namespace rosemarylane::core

#endif // ROSEMARYLANE_CORE_CONFIGURATION_JSON_H
