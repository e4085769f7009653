#include "ctl/CtlOptions.h"

#include "common/CommandLine.h"

#include <cstdio>
#include <cstdlib>
#include <popt.h>

namespace rosemarylane {

namespace {

enum CtlOption { VersionOption = 1 };

constexpr char TokenVariable[] = "ROSEMARYLANE_TOKEN";

constexpr char Commands[] =
    "COMMAND\n"
    "\n"
    "  get                          the catalogue in force\n"
    "  apply FILE                   put a catalogue in force\n"
    "  diff FILE                    what apply would change\n"
    "  history                      the latest changes\n"
    "  out failure-domain|host NAME take out of service (--watch: until "
    "drained)\n"
    "  in failure-domain|host NAME  bring back into service\n"
    "  rollout [ENTRY]              replicas at the catalogue's version "
    "(--watch: until all are)\n"
    "  status                       what each process has in force\n"
    "\n"
    "Exit codes: 0 done, 1 refused or failed, 2 wrong command line, 3 wrong\n"
    "document, 4 the catalogue changed in between, 5 no answer.\n";

core::Result<CtlOptions, ExitCode> usageError(const std::string &Problem) {
  std::fprintf(stderr, "rosemarylane ctl: %s\n", Problem.c_str());
  return core::failure(ExitCode::Usage);
}

/// Reads the token from the file, else from the environment.
core::Result<std::string, std::string> findToken(const char *File) {
  if (!File) {
    const char *Token = std::getenv(TokenVariable);
    if (!Token)
      return core::failure(std::string("give --token-file or set ") +
                           TokenVariable);
    return std::string(Token);
  }
  auto Contents = readFile(File);
  if (!Contents)
    return Contents;
  std::size_t End = Contents->find_last_not_of(" \t\r\n");
  return Contents->substr(0, End == std::string::npos ? 0 : End + 1);
}

} // namespace

core::Result<CtlOptions, ExitCode> parseCtlOptions(int Argc,
                                                   const char **Argv) {
  const char *Server = nullptr;
  const char *TokenFile = nullptr;
  const char *Output = nullptr;
  const char *Revision = nullptr;
  int Watch = 0;
  poptOption Table[] = {
      {"server", 's', POPT_ARG_STRING, &Server, 0, "Address of an entry",
       "IP:PORT"},
      {"token-file", 't', POPT_ARG_STRING, &TokenFile, 0,
       "File that holds the token (else ROSEMARYLANE_TOKEN)", "FILE"},
      {"output", 'o', POPT_ARG_STRING, &Output, 0, "Form of the result",
       "table|json"},
      {"revision", 'r', POPT_ARG_STRING, &Revision, 0,
       "apply: the revision that the document builds on", "N"},
      {"watch", 'w', POPT_ARG_NONE, &Watch, 0, "Show progress until it is done",
       nullptr},
      {"version", 0, POPT_ARG_NONE, nullptr, VersionOption, "Print the version",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext Popt = poptGetContext("ctl", Argc, Argv, Table, 0);
  poptSetOtherOptionHelp(Popt, Commands);
  int Next = poptGetNextOpt(Popt);
  CtlOptions Options;
  std::string BadOption = Next < -1 ? std::string(poptBadOption(Popt, 0)) +
                                          ": " + poptStrerror(Next)
                                    : "";
  while (const char *Word = poptGetArg(Popt))
    Options.Words.emplace_back(Word);
  poptFreeContext(Popt);
  if (Next == VersionOption) {
    std::puts("rosemarylane " ROSEMARYLANE_VERSION);
    return core::failure(ExitCode::Ok);
  }
  if (!BadOption.empty())
    return usageError(BadOption);
  if (Options.Words.empty())
    return usageError("give a command; see --help");
  if (!Server)
    return usageError("give --server");
  if (Output && std::string_view(Output) != "json" &&
      std::string_view(Output) != "table")
    return usageError("--output takes table or json");
  auto Token = findToken(TokenFile);
  if (!Token)
    return usageError(Token.error());
  Options.Server = Server;
  Options.Token = std::move(*Token);
  Options.JsonOutput = Output && std::string_view(Output) == "json";
  Options.Watch = Watch != 0;
  if (Revision)
    Options.Revision = Revision;
  return Options;
}

} // namespace rosemarylane
