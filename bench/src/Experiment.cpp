#include "Experiment.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <sstream>

namespace rosemarylane::bench {

namespace json = boost::json;

namespace {

constexpr unsigned DomainsPerRegion = 3;
constexpr std::uint64_t DraftBytes = 1 << 20;
constexpr std::uint64_t DraftChunkBytes = 128 << 10;
constexpr std::chrono::seconds ServeLimit{30};
constexpr std::chrono::microseconds SteadyTokenInterval{10000};

std::string bearer() { return std::string("Bearer ") + Fleet::CallerToken; }

} // namespace

const std::vector<Experiment> &experiments() {
  static const std::vector<Experiment> All{
      {"hops", "latency that entry and agent add", runHops},
      {"failure-domain",
       "service while a failure domain leaves and returns; parts: planned, cut",
       runFailureDomain},
      {"replicas",
       "time until a version has its replicas; parts: a number of hosts, "
       "origin, tree",
       runReplicas},
      {"config",
       "time until a configuration is in force everywhere; parts: normal, "
       "outage",
       runConfig},
      {"at-most-once", "store calls and bytes for each idempotency key",
       runAtMostOnce},
      {"overload", "goodput and latency by class above capacity", runOverload},
      {"control-cost",
       "bytes, processor time and memory by role; parts: entries, agents, "
       "catalogue, holdings, full-domain, domains, changes",
       runControlCost},
  };
  return All;
}

http::Request chatRequest(const std::string &Entry, const std::string &Prompt) {
  json::object Body{{"model", Entry},
                    {"stream", true},
                    {"messages", json::array{json::object{
                                     {"role", "user"}, {"content", Prompt}}}}};
  return {"POST",
          "/v1/chat/completions",
          {{"Authorization", bearer()}, {"Content-Type", "application/json"}},
          json::serialize(Body)};
}

http::Request serviceRequest(const std::string &IdempotencyKey) {
  return {"POST",
          std::string("/v1/services/") + Fleet::ServiceEntry + "/place",
          {{"Authorization", bearer()},
           {"Content-Type", "application/json"},
           {"Idempotency-Key", IdempotencyKey}},
          R"({"item": "tankard"})"};
}

json::object modelEntry(const std::string &Name, const core::Digest &Version,
                        const std::string &Class, unsigned Replicas) {
  return {
      {"name", Name},
      {"owner", Fleet::CallerWorkspace},
      {"kind", "engine"},
      {"class", Class},
      {"limits",
       json::object{{"concurrency", 8}, {"rate_per_second", 0}, {"queue", 64}}},
      {"replicas", Replicas},
      {"serving_floor", 0},
      {"idempotent", true},
      {"version", "sha256:" + Version.hex()}};
}

json::object serviceEntry(unsigned Replicas) {
  return {{"name", Fleet::ServiceEntry},
          {"owner", Fleet::CallerWorkspace},
          {"kind", "service"},
          {"class", "standard"},
          {"limits", json::object{{"concurrency", 32},
                                  {"rate_per_second", 0},
                                  {"queue", 256}}},
          {"replicas", Replicas},
          {"serving_floor", 0},
          {"idempotent", false}};
}

std::vector<DomainShape> domainShapes(unsigned Count, unsigned Entries,
                                      unsigned Engines) {
  std::vector<DomainShape> Shapes;
  for (unsigned I = 0; I < Count; ++I) {
    DomainShape Shape;
    Shape.Region = "region-" + std::to_string(I / DomainsPerRegion + 1);
    Shape.Name = "domain-" + std::to_string(I + 1);
    Shape.Entries = Entries;
    Shape.Engines = Engines;
    Shapes.push_back(std::move(Shape));
  }
  return Shapes;
}

std::vector<std::string> fastEngine() {
  return {"--tokens", "4", "--token-interval-us", "0", "--first-token-us", "0"};
}

std::vector<std::string> steadyEngine() {
  return {"--tokens",
          "8",
          "--token-interval-us",
          std::to_string(SteadyTokenInterval.count()),
          "--first-token-us",
          "0",
          "--concurrency",
          std::to_string(SteadyEngineConcurrency)};
}

std::unique_ptr<Fleet> startFleet(const ExperimentOptions &Options,
                                  std::vector<DomainShape> Domains,
                                  std::vector<std::string> EngineOptions) {
  FleetShape Shape;
  Shape.BasePort = Options.BasePort;
  Shape.Domains = std::move(Domains);
  Shape.EngineOptions = std::move(EngineOptions);
  return orThrow(Fleet::start(Shape));
}

std::vector<std::string> originRate(std::uint64_t BytesPerSecond) {
  return {"--origin-rate", std::to_string(BytesPerSecond)};
}

std::map<std::string, double> serviceRuns(Fleet &Running,
                                          const std::string &TargetAddress) {
  json::value Document = json::parse(
      orThrow(Running.http().get(TargetAddress, "/control/v1/runs")));
  std::map<std::string, double> Runs;
  for (const json::value &Run : Document.at("runs").as_array())
    Runs[std::string(Run.at("key").as_string())] +=
        Run.at("count").to_number<double>();
  return Runs;
}

core::Digest serveDraft(Fleet &Running) {
  unsigned Engines = 0;
  unsigned Services = 0;
  for (const FleetMember &Agent : Running.agents())
    ++(Agent.TargetKind == core::TargetKind::Engine ? Engines : Services);
  core::Digest Version =
      orThrow(Running.makeVersion("draft", DraftBytes, DraftChunkBytes, 1));
  json::array Entries{modelEntry("draft", Version, "interactive", Engines)};
  if (Services > 0)
    Entries.push_back(serviceEntry(Services));
  orThrow(Running.apply(json::serialize(Entries)));
  orThrow(Running.waitLoaded(Version, ServeLimit));
  waitServed(Running, "draft");
  return Version;
}

void waitServed(Fleet &Running, const std::string &Entry) {
  for (FleetMember &Member : Running.entries()) {
    std::string Last;
    bool Served = Fleet::waitFor(ServeLimit, [&] {
      auto Answer = Running.http().call(Member.HttpAddress,
                                        chatRequest(Entry, "warm up"));
      Last = Answer ? std::to_string(Answer->Head.Status) + " " + Answer->Body
                    : Answer.error().Detail;
      return Answer && Answer->Head.Status == 200;
    });
    if (!Served)
      throw ExperimentError(Member.Host + " does not serve " + Entry + ": " +
                            Last);
  }
}

double metric(Fleet &Running, const std::string &HttpAddress,
              const std::string &Name, const std::string &LabelPart) {
  auto Text = Running.http().get(HttpAddress, "/metrics");
  if (!Text)
    return 0;
  std::istringstream Lines(*Text);
  double Sum = 0;
  for (std::string Line; std::getline(Lines, Line);) {
    std::size_t End = Line.find_first_of("{ ");
    if (Line.starts_with('#') || Line.substr(0, End) != Name)
      continue;
    if (Line.find(LabelPart) == std::string::npos)
      continue;
    Sum += std::stod(Line.substr(Line.rfind(' ') + 1));
  }
  return Sum;
}

double counter(Fleet &Running, const std::string &Address,
               const std::string &Name) {
  json::value Counters =
      json::parse(orThrow(Running.http().get(Address, "/v1/counters")));
  const json::value *Value = Counters.as_object().if_contains(Name);
  return Value ? Value->to_number<double>() : 0;
}

double toMilliseconds(std::chrono::nanoseconds Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

double toSeconds(std::chrono::nanoseconds Time) {
  return std::chrono::duration<double>(Time).count();
}

void writeChart(const ExperimentOptions &Options, const Chart &Drawn) {
  if (!Options.SvgPath.empty())
    std::ofstream(Options.SvgPath) << formatSvg(Drawn);
}

} // namespace rosemarylane::bench
