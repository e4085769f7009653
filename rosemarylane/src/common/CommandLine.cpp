#include "common/CommandLine.h"

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <popt.h>
#include <sstream>

namespace rosemarylane {

core::Result<std::string, std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  std::ostringstream Contents;
  if (!File || !(Contents << File.rdbuf()))
    return core::failure(Path + ": " + std::strerror(errno));
  return std::move(Contents).str();
}

core::Result<std::string, ExitCode> settingsPath(const char *Command, int Argc,
                                                 const char **Argv) {
  char *Path = nullptr;
  int Version = 0;
  poptOption Options[] = {
      {"settings", 's', POPT_ARG_STRING, &Path, 0, "settings file in JSON",
       "FILE"},
      {"version", 0, POPT_ARG_NONE, &Version, 0, "print the version", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext Popt = poptGetContext(Command, Argc, Argv, Options, 0);
  int Next = poptGetNextOpt(Popt);
  std::string Problem;
  if (Next < -1)
    Problem = std::string(poptBadOption(Popt, POPT_BADOPTION_NOALIAS)) + ": " +
              poptStrerror(Next);
  else if (const char *Extra = poptGetArg(Popt))
    Problem = std::string("unexpected argument: ") + Extra;
  poptFreeContext(Popt);
  std::string Result = Path ? Path : "";
  std::free(Path);
  if (Version) {
    std::cout << "rosemarylane " ROSEMARYLANE_VERSION "\n";
    return core::failure(ExitCode::Ok);
  }
  if (Problem.empty() && Result.empty())
    Problem = "--settings FILE is required";
  if (Problem.empty())
    return Result;
  std::cerr << "rosemarylane " << Command << ": " << Problem << "\n";
  return core::failure(ExitCode::Usage);
}

} // namespace rosemarylane
