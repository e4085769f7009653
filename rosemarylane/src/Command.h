#ifndef ROSEMARYLANE_COMMAND_H
#define ROSEMARYLANE_COMMAND_H

namespace rosemarylane {

/// Exit codes of every subcommand, for scripts.
enum class ExitCode : int {
  Ok = 0,
  /// The operation was refused or failed.
  Failed = 1,
  /// The command line is wrong.
  Usage = 2,
  /// A settings file or catalogue is wrong.
  Invalid = 3,
  /// A lost race: the configuration changed in between.
  Conflict = 4,
  /// The service could not be reached.
  Unreachable = 5,
};

/// Runs the subcommand that the command line names.
/// @return the process's exit code.
int runCommand(int Argc, const char **Argv);

/// The subcommands; each parses its own options, `--help` and `--version`.
/// @param Argv starts with the subcommand's name.
ExitCode runEntry(int Argc, const char **Argv);
ExitCode runAgent(int Argc, const char **Argv);
ExitCode runGateway(int Argc, const char **Argv);
ExitCode runSidecar(int Argc, const char **Argv);
ExitCode runCtl(int Argc, const char **Argv);
ExitCode runCheck(int Argc, const char **Argv);

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMAND_H
