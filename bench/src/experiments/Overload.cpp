/// Goodput and latency by class at 0.5 to 4 times the engines' capacity.

#include "Experiment.h"

#include <array>
#include <atomic>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <thread>

namespace rosemarylane::bench {

namespace json = boost::json;

namespace {

using std::chrono::seconds;

constexpr seconds WarmUp{3};
constexpr seconds Length{9};
constexpr seconds Pause{3};
constexpr seconds CapacityLength{3};
/// An answer that comes later is of no use to its caller.
constexpr seconds CallerPatience{2};
constexpr std::array<const char *, 3> Classes{"interactive", "standard",
                                              "batch"};
/// Shares of the load by class.
constexpr std::array<double, 3> Shares{0.2, 0.3, 0.5};
constexpr double Factors[] = {0.5, 1, 2, 4};
constexpr double WorstFactor = 4;
constexpr std::uint64_t VersionBytes = 1 << 20;
constexpr std::uint64_t ChunkBytes = 128 << 10;

void serveClasses(Fleet &Running) {
  auto Engines = unsigned(Running.agents().size());
  json::array Entries;
  std::vector<core::Digest> Versions;
  for (std::size_t I = 0; I < Classes.size(); ++I) {
    Versions.push_back(orThrow(
        Running.makeVersion(Classes[I], VersionBytes, ChunkBytes, I + 1)));
    Entries.push_back(
        modelEntry(Classes[I], Versions.back(), Classes[I], Engines));
  }
  orThrow(Running.apply(json::serialize(Entries)));
  for (std::size_t I = 0; I < Classes.size(); ++I)
    orThrow(Running.waitLoaded(Versions[I], seconds(30)));
  for (const char *Class : Classes)
    waitServed(Running, Class);
}

/// @return the requests a second that the engines complete when each always has
/// as many callers as its batch takes.
double measureCapacity(Fleet &Running) {
  std::atomic<std::size_t> Done{0};
  auto End = std::chrono::steady_clock::now() + CapacityLength;
  std::vector<std::thread> Callers;
  for (FleetMember &Agent : Running.agents())
    for (int I = 0; I < SteadyEngineConcurrency; ++I)
      Callers.emplace_back([&, Address = Agent.TargetAddress] {
        while (std::chrono::steady_clock::now() < End) {
          auto Answer = Running.http().call(
              Address, chatRequest(Classes.front(), "capacity"));
          if (Answer && Answer->Head.Status == 200)
            ++Done;
        }
      });
  for (std::thread &Caller : Callers)
    Caller.join();
  return double(Done) / toSeconds(CapacityLength);
}

/// Offers \p Factor times \p Capacity, through the system or, for comparison,
/// straight to the engines in turn.
json::object measureFactor(Fleet &Running, const ExperimentOptions &Options,
                           double Factor, double Capacity, bool Direct) {
  LoadShape Load;
  Load.RatePerSecond = Factor * Capacity;
  Load.Length = WarmUp + Length;
  Load.Seed = Options.Seed;
  Load.Next = [&](std::uint64_t Number, std::mt19937_64 &Random) {
    std::discrete_distribution<unsigned> ClassOf(Shares.begin(), Shares.end());
    unsigned Kind = ClassOf(Random);
    auto &Entries = Running.entries();
    auto &Agents = Running.agents();
    const std::string &Address =
        Direct ? Agents[Number % Agents.size()].TargetAddress
               : Entries[Number % Entries.size()].HttpAddress;
    return Call{Address, chatRequest(Classes[Kind], "overload"), Kind};
  };
  auto Records = runLoad(Running.http().client(), Load);
  double Goodput = 0;
  json::array ByClass;
  for (unsigned Kind = 0; Kind < Classes.size(); ++Kind) {
    LoadSummary Part =
        summarize(Records, WarmUp, Load.Length, [Kind](const CallRecord &R) {
          return R.Kind == Kind &&
                 (R.How != Outcome::Served || R.Whole <= CallerPatience);
        });
    Goodput += double(Part.Served) / toSeconds(Length);
    ByClass.push_back(json::object{
        {"class", Classes[Kind]},
        {"served", Part.Served},
        {"refused", Part.Refused},
        {"failed", Part.Failed},
        {"first_byte_p99_ms", toMilliseconds(Part.FirstByte.quantile(0.99))},
        {"p50_ms", toMilliseconds(Part.Whole.quantile(0.5))},
        {"p99_ms", toMilliseconds(Part.Whole.quantile(0.99))}});
  }
  Options.Say(std::string(Direct ? "direct, " : "") + std::to_string(Factor) +
              " of capacity: goodput " + std::to_string(Goodput / Capacity) +
              " of capacity");
  return {{"factor", Factor},
          {"offered_per_second", Load.RatePerSecond},
          {"goodput_per_second", Goodput},
          {"goodput_of_capacity", Goodput / Capacity},
          {"classes", std::move(ByClass)}};
}

} // namespace

json::object runOverload(const ExperimentOptions &Options) {
  auto Running = startFleet(Options, domainShapes(2, 2, 2), steadyEngine());
  serveClasses(*Running);
  double Capacity = measureCapacity(*Running);
  Chart Drawn;
  Drawn.Title = "Goodput under overload";
  Drawn.XLabel = "offered load, of capacity";
  Drawn.YLabel = "goodput";
  Drawn.Curves = {{"goodput", {}}};
  json::array Runs;
  for (double Factor : Factors) {
    json::object Run =
        measureFactor(*Running, Options, Factor, Capacity, false);
    Drawn.Curves[0].Points.push_back(
        {Factor, Run.at("goodput_of_capacity").to_number<double>()});
    Runs.push_back(std::move(Run));
    std::this_thread::sleep_for(Pause);
  }
  double CapacityAfter = measureCapacity(*Running);
  json::object WithoutAdmission =
      measureFactor(*Running, Options, WorstFactor, Capacity, true);
  writeChart(Options, Drawn);
  orThrow(Running->stop());
  return {{"capacity_per_second", Capacity},
          {"capacity_after_per_second", CapacityAfter},
          {"runs", std::move(Runs)},
          {"without_admission", std::move(WithoutAdmission)}};
}

} // namespace rosemarylane::bench
