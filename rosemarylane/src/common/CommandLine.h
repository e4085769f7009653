#ifndef ROSEMARYLANE_COMMON_COMMAND_LINE_H
#define ROSEMARYLANE_COMMON_COMMAND_LINE_H

#include "core/Result.h"

#include <string>

namespace rosemarylane {

/// Reads a file into memory: the settings of a gateway or sidecar, or a file
/// that is named on the command line of `ctl` or `check`.
///
/// @return the contents, or the path and the reason why it cannot be read.
core::Result<std::string, std::string> readFile(const std::string &Path);

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMON_COMMAND_LINE_H
