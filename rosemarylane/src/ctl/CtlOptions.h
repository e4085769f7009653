#ifndef ROSEMARYLANE_CTL_CTL_OPTIONS_H
#define ROSEMARYLANE_CTL_CTL_OPTIONS_H

#include "Command.h"
#include "core/Result.h"

#include <optional>
#include <string>
#include <vector>

namespace rosemarylane {

/// The command line of `rosemarylane ctl`.
struct CtlOptions {
  std::string Server;
  std::string Token;
  bool JsonOutput = false;
  bool Watch = false;
  /// The revision that `apply` builds on; otherwise the document's, or, if that
  /// has none, the one in force.
  std::optional<std::string> Revision;
  /// The command and its arguments.
  std::vector<std::string> Words;
};

/// Parses the command line; prints help, the version and what is wrong with it.
/// @return the options, or the code to exit with.
core::Result<CtlOptions, ExitCode> parseCtlOptions(int Argc, const char **Argv);

} // namespace rosemarylane

#endif // ROSEMARYLANE_CTL_CTL_OPTIONS_H
