#ifndef ROSEMARYLANE_CORE_CONFIGURATION_JSON_H
#define ROSEMARYLANE_CORE_CONFIGURATION_JSON_H

#include "core/ConfigurationCodec.h"

#include <boost/json/value.hpp>

namespace rosemarylane::core {

/// As `parseConfiguration`, from a parsed document.
Result<Configuration, DocumentErrors>
readConfigurationJson(const boost::json::value &Document);

/// As `formatConfiguration`, as a value.
boost::json::object writeConfigurationJson(const Configuration &Config);

/// One catalogue entry as it stands in a configuration document.
boost::json::object writeEntryJson(const CatalogueEntry &Entry);

} // namespace rosemarylane::core

#endif // ROSEMARYLANE_CORE_CONFIGURATION_JSON_H
