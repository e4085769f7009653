/// Stand-ins for the platform's services, for targets and for the network, with
/// faults to switch on.

#include "Command.h"

int main(int Argc, const char **Argv) {
  return rosemarylane::standins::runCommand(Argc, Argv);
}
