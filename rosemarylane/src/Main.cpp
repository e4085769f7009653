/// The one binary of rosemarylane: dispatches to its subcommands.

#include "Command.h"

int main(int Argc, const char **Argv) {
  return rosemarylane::runCommand(Argc, Argv);
}
