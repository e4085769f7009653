#ifndef ROSEMARYLANE_STANDINS_COMMAND_H
#define ROSEMARYLANE_STANDINS_COMMAND_H

namespace rosemarylane::standins {

/// Runs the stand-ins that the command line names until SIGTERM or SIGINT.
/// @return the process's exit code.
int runCommand(int Argc, const char **Argv);

} // namespace rosemarylane::standins

#endif // ROSEMARYLANE_STANDINS_COMMAND_H
