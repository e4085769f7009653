#include "Command.h"

#include <array>
#include <cstdio>
#include <string_view>

namespace rosemarylane {

namespace {

struct Subcommand {
  std::string_view Name;
  ExitCode (*Run)(int, const char **);
};

constexpr std::array<Subcommand, 6> Subcommands{{
    {"entry", runEntry},
    {"agent", runAgent},
    {"gateway", runGateway},
    {"sidecar", runSidecar},
    {"ctl", runCtl},
    {"check", runCheck},
}};

constexpr char Usage[] =
    "Usage: rosemarylane COMMAND [OPTION...]\n"
    "\n"
    "  entry   take callers' requests and route them to targets\n"
    "  agent   fetch weights and guard one target\n"
    "  gateway take callers' requests on a platform whose targets register\n"
    "          themselves, and send them to the targets directly\n"
    "  sidecar stand beside one such target: tell its load, load new weights\n"
    "  ctl     read and change the catalogue, take hosts out and bring them "
    "back\n"
    "  check   check a settings file or a catalogue\n"
    "\n"
    "Each command has --help and --version.\n";

} // namespace

int runCommand(int Argc, const char **Argv) {
  std::string_view Name = Argc > 1 ? Argv[1] : "";
  if (Name == "--help" || Name == "-?") {
    std::fputs(Usage, stdout);
    return static_cast<int>(ExitCode::Ok);
  }
  if (Name == "--version") {
    std::puts("rosemarylane " ROSEMARYLANE_VERSION);
    return static_cast<int>(ExitCode::Ok);
  }
  for (const Subcommand &S : Subcommands)
    if (S.Name == Name)
      return static_cast<int>(S.Run(Argc - 1, Argv + 1));
  std::fputs(Usage, stderr);
  return static_cast<int>(ExitCode::Usage);
}

} // namespace rosemarylane
