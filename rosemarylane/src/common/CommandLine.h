#ifndef ROSEMARYLANE_COMMON_COMMAND_LINE_H
#define ROSEMARYLANE_COMMON_COMMAND_LINE_H

#include "Command.h"
#include "core/Result.h"

#include <string>

namespace rosemarylane {

/// Reads a file into memory: the settings of a gateway or sidecar, or a file
/// that is named on the command line of `ctl` or `check`.
///
/// @return the contents, or the path and the reason why it cannot be read.
core::Result<std::string, std::string> readFile(const std::string &Path);

/// Parses the options of a process that reads its settings from a file: of an
/// entry, agent, gateway or sidecar. Errors are printed to standard error.
///
/// @param Command name of the command, as in `rosemarylane <Command>`.
/// @return the path of the settings file, or the exit code if the process is to
/// end: after `--version` or an error. popt itself handles `--help`, and exits.
core::Result<std::string, ExitCode> settingsPath(const char *Command, int Argc,
                                                 const char **Argv);

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMON_COMMAND_LINE_H
