#include "Command.h"
#include "common/CommandLine.h"
#include "common/Settings.h"
#include "core/DocumentSchema.h"

#include <boost/json.hpp>
#include <cstdio>
#include <iostream>
#include <popt.h>

namespace rosemarylane {

namespace json = boost::json;

namespace {

enum CheckOption { VersionOption = 1 };

/// What the command line asks for.
struct CheckRequest {
  std::string SettingsKind;
  bool Catalogue = false;
  std::string File;
  bool JsonOutput = false;
};

core::DocumentErrors check(const CheckRequest &Request,
                           const std::string &Document) {
  if (Request.Catalogue) {
    auto Parsed = core::parseConfiguration(Document);
    return Parsed ? core::DocumentErrors() : Parsed.error();
  }
  ProcessKind Kind =
      Request.SettingsKind == "agent" ? ProcessKind::Agent : ProcessKind::Entry;
  auto Parsed = parseSettings(Kind, Document);
  return Parsed ? core::DocumentErrors() : Parsed.error();
}

void printJson(const core::DocumentErrors &Errors) {
  json::array List;
  for (const core::DocumentError &E : Errors)
    List.push_back(json::object{
        {"path", E.Path}, {"found", E.Found}, {"expected", E.Expected}});
  std::cout << json::object{{"valid", Errors.empty()},
                            {"errors", std::move(List)}}
            << "\n";
}

ExitCode run(const CheckRequest &Request) {
  auto Document = readFile(Request.File);
  if (!Document) {
    std::fprintf(stderr, "%s\n", Document.error().c_str());
    return ExitCode::Failed;
  }
  core::DocumentErrors Errors = check(Request, *Document);
  if (Request.JsonOutput)
    printJson(Errors);
  else if (Errors.empty())
    std::cout << Request.File << ": valid\n";
  else
    std::cerr << core::formatErrors(Errors);
  return Errors.empty() ? ExitCode::Ok : ExitCode::Invalid;
}

/// @return an empty text, or what is wrong with the command line.
std::string usageProblem(const CheckRequest &Request, int PoptResult) {
  if (PoptResult < -1)
    return poptStrerror(PoptResult);
  bool Settings = !Request.SettingsKind.empty();
  if (Settings == Request.Catalogue)
    return "give either --settings or --catalogue";
  if (Settings && Request.SettingsKind != "entry" &&
      Request.SettingsKind != "agent")
    return "--settings takes entry or agent";
  if (Request.File.empty())
    return "give one FILE";
  return "";
}

} // namespace

ExitCode runCheck(int Argc, const char **Argv) {
  const char *Kind = nullptr;
  const char *Output = nullptr;
  int Catalogue = 0;
  poptOption Options[] = {{"settings", 's', POPT_ARG_STRING, &Kind, 0,
                           "FILE holds the settings of this kind of process",
                           "entry|agent"},
                          {"catalogue", 'c', POPT_ARG_NONE, &Catalogue, 0,
                           "FILE holds a configuration document", nullptr},
                          {"output", 'o', POPT_ARG_STRING, &Output, 0,
                           "Form of the result", "text|json"},
                          {"version", 0, POPT_ARG_NONE, nullptr, VersionOption,
                           "Print the version", nullptr},
                          POPT_AUTOHELP POPT_TABLEEND};
  poptContext Popt = poptGetContext("check", Argc, Argv, Options, 0);
  poptSetOtherOptionHelp(Popt, "(--settings KIND | --catalogue) FILE");
  int Next = poptGetNextOpt(Popt);
  CheckRequest Request;
  Request.SettingsKind = Kind ? Kind : "";
  Request.Catalogue = Catalogue != 0;
  Request.JsonOutput = Output && std::string_view(Output) == "json";
  if (const char *File = poptGetArg(Popt))
    Request.File = File;
  poptFreeContext(Popt);
  if (Next == VersionOption) {
    std::puts("rosemarylane " ROSEMARYLANE_VERSION);
    return ExitCode::Ok;
  }
  std::string Problem = usageProblem(Request, Next);
  if (!Problem.empty()) {
    std::fprintf(stderr, "rosemarylane check: %s\n", Problem.c_str());
    return ExitCode::Usage;
  }
  return run(Request);
}

} // namespace rosemarylane
