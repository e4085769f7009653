#ifndef ROSEMARYLANE_BENCH_EXPERIMENT_H
#define ROSEMARYLANE_BENCH_EXPERIMENT_H

#include "bench/Chart.h"
#include "bench/Fleet.h"
#include "bench/Load.h"

#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace rosemarylane::bench {

/// What the command line asks of an experiment.
struct ExperimentOptions {
  std::uint64_t Seed = 1;
  /// Chooses one part of an experiment that has several; empty means the
  /// default.
  std::string Part;
  /// Where to write the curve as SVG; empty writes none.
  std::string SvgPath;
  std::uint16_t BasePort = 26000;
  /// Progress for people; standard error.
  std::function<void(const std::string &)> Say;
};

/// An experiment that could not be carried out.
class ExperimentError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// One experiment by its name on the command line.
struct Experiment {
  const char *Name;
  const char *Purpose;
  boost::json::object (*Run)(const ExperimentOptions &);
};

/// @return every experiment.
const std::vector<Experiment> &experiments();

boost::json::object runHops(const ExperimentOptions &Options);
boost::json::object runFailureDomain(const ExperimentOptions &Options);
boost::json::object runReplicas(const ExperimentOptions &Options);
boost::json::object runConfig(const ExperimentOptions &Options);
boost::json::object runAtMostOnce(const ExperimentOptions &Options);
boost::json::object runOverload(const ExperimentOptions &Options);
boost::json::object runControlCost(const ExperimentOptions &Options);

/// Takes the value out, or throws the error.
template <typename T> T orThrow(core::Result<T, FleetError> Outcome) {
  if (!Outcome)
    throw ExperimentError(Outcome.error().Detail);
  if constexpr (!std::is_void_v<T>)
    return std::move(*Outcome);
}

/// A streamed chat completion for \p Entry, as a caller sends it to an entry.
http::Request chatRequest(const std::string &Entry, const std::string &Prompt);

/// A non-idempotent call to the fleet's plain service.
http::Request serviceRequest(const std::string &IdempotencyKey);

/// One model entry of the catalogue, with generous limits.
boost::json::object modelEntry(const std::string &Name,
                               const core::Digest &Version,
                               const std::string &Class, unsigned Replicas);

/// The entry of the fleet's plain services.
boost::json::object serviceEntry(unsigned Replicas);

/// \p Count failure domains, three to a region at most.
std::vector<DomainShape> domainShapes(unsigned Count, unsigned Entries,
                                      unsigned Engines);

/// Options of an engine stand-in that answers at once.
std::vector<std::string> fastEngine();

/// Options of an engine stand-in with a known capacity.
std::vector<std::string> steadyEngine();

/// Requests that one `steadyEngine` runs at a time.
constexpr int SteadyEngineConcurrency = 8;

/// Starts a fleet of these failure domains, at the ports of \p Options.
/// @param EngineOptions options of every engine stand-in.
std::unique_ptr<Fleet> startFleet(const ExperimentOptions &Options,
                                  std::vector<DomainShape> Domains,
                                  std::vector<std::string> EngineOptions);

/// Options of a platform stand-in whose origin sends at most that many bytes a
/// second.
std::vector<std::string> originRate(std::uint64_t BytesPerSecond);

/// How often a plain service stand-in ran the call with each idempotency key.
std::map<std::string, double> serviceRuns(Fleet &Running,
                                          const std::string &TargetAddress);

/// Makes a small version at the origin, applies one model entry named `draft`
/// over all engines (and the service entry, if there are services), and waits
/// until every entry serves it.
core::Digest serveDraft(Fleet &Running);

/// Waits until a chat completion for \p Entry is served through every entry
/// process.
void waitServed(Fleet &Running, const std::string &Entry);

/// Reads the metrics of a process and adds up the values of \p Name over its
/// labels that match \p LabelPart.
double metric(Fleet &Running, const std::string &HttpAddress,
              const std::string &Name, const std::string &LabelPart = "");

/// Reads a number from a stand-in's `GET /v1/counters`.
double counter(Fleet &Running, const std::string &Address,
               const std::string &Name);

double toMilliseconds(std::chrono::nanoseconds Time);
double toSeconds(std::chrono::nanoseconds Time);

/// Writes the chart if the options name a file for it.
void writeChart(const ExperimentOptions &Options, const Chart &Drawn);

} // namespace rosemarylane::bench

#endif // ROSEMARYLANE_BENCH_EXPERIMENT_H
