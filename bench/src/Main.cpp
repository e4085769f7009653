/// The bench: runs one experiment and prints its result as JSON in its last
/// line.

#include "Experiment.h"

#include <boost/json/serialize.hpp>
#include <cstdio>
#include <cstring>
#include <popt.h>

namespace rosemarylane::bench {

namespace {

constexpr int Success = 0;
constexpr int Failure = 1;
constexpr int UsageError = 2;

const Experiment *findExperiment(const char *Name) {
  for (const Experiment &Known : experiments())
    if (Name && std::strcmp(Known.Name, Name) == 0)
      return &Known;
  return nullptr;
}

int listExperiments() {
  std::fputs("bench/run NAME [--seed N] [--part PART] [--svg FILE] [--output "
             "json]\n\n",
             stderr);
  for (const Experiment &Known : experiments())
    std::fprintf(stderr, "  %-15s %s\n", Known.Name, Known.Purpose);
  return UsageError;
}

int runExperiment(const Experiment &Chosen, const ExperimentOptions &Options) {
  try {
    boost::json::object Result = Chosen.Run(Options);
    Result["experiment"] = Chosen.Name;
    Result["seed"] = Options.Seed;
    std::puts(boost::json::serialize(Result).c_str());
    return Success;
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "%s: %s\n", Chosen.Name, Error.what());
    return Failure;
  }
}

int run(int Argc, const char **Argv) {
  long Seed = 1;
  int BasePort = ExperimentOptions().BasePort;
  char *Part = nullptr;
  char *SvgPath = nullptr;
  char *Output = nullptr;
  poptOption Table[] = {
      {"seed", 's', POPT_ARG_LONG, &Seed, 0, "seed of the arrivals", "N"},
      {"part", 'p', POPT_ARG_STRING, &Part, 0, "one part of the experiment",
       "PART"},
      {"svg", 0, POPT_ARG_STRING, &SvgPath, 0, "write the curve", "FILE"},
      {"base-port", 0, POPT_ARG_INT, &BasePort, 0, "first loopback port",
       "PORT"},
      {"output", 'o', POPT_ARG_STRING, &Output, 0, "`json` prints no progress",
       "json"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext Context = poptGetContext("bench", Argc, Argv, Table, 0);
  int Error = poptGetNextOpt(Context);
  if (Error < -1) {
    std::fprintf(stderr, "%s: %s\n", poptBadOption(Context, 0),
                 poptStrerror(Error));
    return UsageError;
  }
  const Experiment *Chosen = findExperiment(poptGetArg(Context));
  if (!Chosen)
    return listExperiments();
  ExperimentOptions Options;
  Options.Seed = std::uint64_t(Seed);
  Options.Part = Part ? Part : "";
  Options.SvgPath = SvgPath ? SvgPath : "";
  Options.BasePort = std::uint16_t(BasePort);
  bool Quiet = Output && std::strcmp(Output, "json") == 0;
  Options.Say = [Quiet](const std::string &Line) {
    if (!Quiet)
      std::fprintf(stderr, "%s\n", Line.c_str());
  };
  int Code = runExperiment(*Chosen, Options);
  poptFreeContext(Context);
  return Code;
}

} // namespace

} // namespace rosemarylane::bench

int main(int Argc, const char **Argv) {
  return rosemarylane::bench::run(Argc, Argv);
}
