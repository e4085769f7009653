/// Bytes, processor time and memory by role as one part of the fleet grows.

#include "Experiment.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <thread>

namespace rosemarylane::bench {

namespace json = boost::json;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds LoadLimit{60};
/// Longer than a connection that carries nothing stays open.
constexpr std::chrono::seconds Settle{34};
constexpr std::chrono::seconds Measure{6};
constexpr std::uint64_t VersionBytes = 64 << 10;
constexpr std::uint64_t ChunkBytes = 64 << 10;

/// One of 19 failure domains that share 320 entries and 1,600 agents.
constexpr double FullDomainEntries = 17;
constexpr double FullDomainAgents = 84;

/// The size of a fleet at one point of a slope.
struct FleetSize {
  unsigned Domains = 3;
  unsigned EntriesPerDomain = 2;
  unsigned EnginesPerDomain = 2;
  unsigned CatalogueEntries = 1;
  /// How many of them each engine holds.
  unsigned HeldEntries = 1;
  double ChangesPerSecond = 0;
};

/// One slope: what grows, and the fleet at each point.
struct Axis {
  const char *Name;
  std::vector<double> Xs;
  FleetSize (*SizeAt)(double X);
};

const std::vector<Axis> &axes() {
  static const std::vector<Axis> All{
      {"entries",
       {3, 6, 12, 24},
       [](double X) { return FleetSize{.EntriesPerDomain = unsigned(X) / 3}; }},
      {"agents",
       {6, 24, 48, 96},
       [](double X) { return FleetSize{.EnginesPerDomain = unsigned(X) / 3}; }},
      {"catalogue",
       {1, 50, 200, 800},
       [](double X) { return FleetSize{.CatalogueEntries = unsigned(X)}; }},
      {"holdings",
       {1, 2, 4, 8},
       [](double X) {
         return FleetSize{.CatalogueEntries = unsigned(X),
                          .HeldEntries = unsigned(X)};
       }},
      {"full-domain",
       {0.25, 0.5, 0.75, 1},
       [](double X) {
         return FleetSize{
             .Domains = 1,
             .EntriesPerDomain = unsigned(std::lround(X * FullDomainEntries)),
             .EnginesPerDomain = unsigned(std::lround(X * FullDomainAgents))};
       }},
      {"domains",
       {2, 4, 8, 16},
       [](double X) {
         return FleetSize{.Domains = unsigned(X), .EnginesPerDomain = 1};
       }},
      {"changes",
       {0, 1, 2, 4},
       [](double X) { return FleetSize{.ChangesPerSecond = X}; }},
  };
  return All;
}

/// What the processes of one role have used, each on average.
struct RoleUsage {
  double ProcessorSeconds = 0;
  double ResidentBytes = 0;
  double PeerBytes = 0;
  double PeerMessages = 0;
};

RoleUsage roleUsage(Fleet &Running, std::vector<FleetMember> &Members) {
  RoleUsage Mean;
  double Share = 1.0 / double(Members.size());
  for (FleetMember &Member : Members) {
    ProcessUsage Used = Member.Program->usage();
    Mean.ProcessorSeconds += toSeconds(Used.ProcessorTime) * Share;
    Mean.ResidentBytes += double(Used.ResidentBytes) * Share;
    Mean.PeerBytes +=
        metric(Running, Member.HttpAddress, "rosemarylane_peer_bytes_total") *
        Share;
    Mean.PeerMessages += metric(Running, Member.HttpAddress,
                                "rosemarylane_peer_messages_total") *
                         Share;
  }
  return Mean;
}

json::object usageBetween(const RoleUsage &Before, const RoleUsage &After,
                          double Seconds) {
  return {
      {"core_percent",
       100 * (After.ProcessorSeconds - Before.ProcessorSeconds) / Seconds},
      {"resident_mb", After.ResidentBytes / 1e6},
      {"peer_bytes_per_second", (After.PeerBytes - Before.PeerBytes) / Seconds},
      {"peer_messages_per_second",
       (After.PeerMessages - Before.PeerMessages) / Seconds}};
}

/// Applies a catalogue of which every engine holds the first entries.
void applyCatalogue(Fleet &Running, const FleetSize &Size) {
  auto Engines = unsigned(Running.agents().size());
  core::Digest Version =
      orThrow(Running.makeVersion("control", VersionBytes, ChunkBytes, 1));
  json::array Entries;
  for (unsigned I = 0; I < Size.CatalogueEntries; ++I)
    Entries.push_back(modelEntry("model-" + std::to_string(I), Version,
                                 "standard",
                                 I < Size.HeldEntries ? Engines : 0));
  orThrow(Running.apply(json::serialize(Entries)));
  orThrow(Running.waitLoaded(Version, LoadLimit));
}

/// Makes changes at a steady rate for the time of the measurement.
void measureWhileChanging(Fleet &Running, double ChangesPerSecond) {
  auto End = Clock::now() + Measure;
  if (ChangesPerSecond <= 0) {
    std::this_thread::sleep_until(End);
    return;
  }
  auto Period = std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(1 / ChangesPerSecond));
  bool Out = true;
  for (auto Due = Clock::now(); Due < End; Due += Period, Out = !Out) {
    std::this_thread::sleep_until(Due);
    orThrow(Running.ctl({Out ? "out" : "in", "host", "domain-1-engine-1"}));
  }
  std::this_thread::sleep_until(End);
}

json::object measurePoint(const ExperimentOptions &Options, const Axis &Growing,
                          double X) {
  FleetSize Size = Growing.SizeAt(X);
  FleetShape Shape;
  Shape.BasePort = Options.BasePort;
  Shape.Domains =
      domainShapes(Size.Domains, Size.EntriesPerDomain, Size.EnginesPerDomain);
  Shape.EngineOptions = fastEngine();
  Shape.ShareEngineProcess = true;
  auto Running = orThrow(Fleet::start(Shape));
  applyCatalogue(*Running, Size);
  waitServed(*Running, "model-0");
  std::this_thread::sleep_for(Settle);
  const std::string &Platform = Running->platformAddress();
  RoleUsage EntriesBefore = roleUsage(*Running, Running->entries());
  RoleUsage AgentsBefore = roleUsage(*Running, Running->agents());
  double ReadsBefore = counter(*Running, Platform, "reads");
  double WritesBefore = counter(*Running, Platform, "writes");
  double ListReadsBefore = counter(*Running, Platform, "host_list_reads");
  auto Start = Clock::now();
  measureWhileChanging(*Running, Size.ChangesPerSecond);
  double Seconds = toSeconds(Clock::now() - Start);
  json::object Entry = usageBetween(
      EntriesBefore, roleUsage(*Running, Running->entries()), Seconds);
  json::object Agent = usageBetween(
      AgentsBefore, roleUsage(*Running, Running->agents()), Seconds);
  double Reads = counter(*Running, Platform, "reads") - ReadsBefore;
  double Writes = counter(*Running, Platform, "writes") - WritesBefore;
  double ListReads =
      counter(*Running, Platform, "host_list_reads") - ListReadsBefore;
  double Watches = counter(*Running, Platform, "watches");
  Options.Say(std::string(Growing.Name) + " " + std::to_string(int(X)) +
              ": entry " + json::serialize(Entry) + " agent " +
              json::serialize(Agent));
  orThrow(Running->stop());
  return {{"x", X},
          {"entry", std::move(Entry)},
          {"agent", std::move(Agent)},
          {"store_reads_per_second", Reads / Seconds},
          {"store_writes_per_second", Writes / Seconds},
          {"store_watches", Watches},
          {"host_list_reads_per_second", ListReads / Seconds}};
}

/// The slope of one measured value of one role over the points.
json::object slopeOf(const json::array &Points, const char *Role,
                     const char *Value) {
  std::vector<Point> Fitted;
  for (const json::value &P : Points)
    Fitted.push_back({P.at("x").to_number<double>(),
                      P.at(Role).at(Value).to_number<double>()});
  Line Through = fitLine(Fitted);
  return {{"intercept", Through.Intercept}, {"slope", Through.Slope}};
}

json::object measureAxis(const ExperimentOptions &Options,
                         const Axis &Growing) {
  json::array Points;
  for (double X : Growing.Xs)
    Points.push_back(measurePoint(Options, Growing, X));
  json::object Slopes;
  for (const char *Role : {"entry", "agent"})
    for (const char *Value :
         {"core_percent", "resident_mb", "peer_bytes_per_second",
          "peer_messages_per_second"})
      Slopes[std::string(Role) + "." + Value] = slopeOf(Points, Role, Value);
  return {{"axis", Growing.Name},
          {"points", std::move(Points)},
          {"slopes", std::move(Slopes)}};
}

} // namespace

json::object runControlCost(const ExperimentOptions &Options) {
  json::array Measured;
  for (const Axis &Growing : axes())
    if (Options.Part.empty() || Options.Part == Growing.Name)
      Measured.push_back(measureAxis(Options, Growing));
  if (Measured.empty())
    throw ExperimentError("unknown part: " + Options.Part);
  return {{"axes", std::move(Measured)}};
}

} // namespace rosemarylane::bench
