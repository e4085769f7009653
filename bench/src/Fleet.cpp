#include "bench/Fleet.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

namespace rosemarylane::bench {

namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds PollInterval{20};
constexpr std::chrono::seconds StartLimit{20};
constexpr std::chrono::seconds StopLimit{15};
constexpr std::chrono::seconds CtlLimit{15};
constexpr int SharedEngineThreads = 2;

void writeFile(const std::string &Path, const std::string &Text) {
  std::ofstream(Path) << Text;
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  return {std::istreambuf_iterator<char>(File), {}};
}

std::string loopback(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

std::uint16_t engineCount(const FleetShape &Shape) {
  unsigned Count = 0;
  for (const DomainShape &Domain : Shape.Domains)
    Count += Domain.Engines;
  return std::uint16_t(Count);
}

json::object workspace(const char *Name, const char *Role, const char *Token) {
  return {{"name", Name},
          {"role", Role},
          {"token_sha256", core::Digest::of(Token).hex()}};
}

/// Whether an engine's state shows \p Version loaded and warm.
bool hasLoaded(const std::string &State, const std::string &Version) {
  boost::system::error_code Error;
  json::value Document = json::parse(State, Error);
  if (Error || !Document.is_object())
    return false;
  for (const json::value &Item : Document.at("loaded").as_array())
    if (Item.at("version").as_string() == Version)
      return Document.at("warm").as_bool();
  return false;
}

} // namespace

core::Result<std::unique_ptr<Fleet>, FleetError>
Fleet::start(const FleetShape &Shape) {
  std::unique_ptr<Fleet> Started(new Fleet());
  std::string Template =
      (std::filesystem::temp_directory_path() / "rosemarylane-XXXXXX").string();
  if (!mkdtemp(Template.data()))
    return core::failure(FleetError{"cannot make a temporary directory"});
  Started->Directory = Template;
  Started->NextPort = Shape.BasePort;
  Started->Http = HttpCaller::create();
  Started->plan(Shape);
  return Started->startStandins(Shape)
      .and_then([&] { return Started->startPrograms(); })
      .map([&] { return std::move(Started); });
}

Fleet::~Fleet() {
  Entries.clear();
  Agents.clear();
  Platform.reset();
  if (!Directory.empty() && !std::getenv("BENCH_KEEP_LOGS"))
    std::filesystem::remove_all(Directory);
}

std::string Fleet::takeAddress() { return loopback(NextPort++); }

std::string Fleet::logPath(const std::string &Name) const {
  return Directory + "/" + Name + ".log";
}

void Fleet::plan(const FleetShape &Shape) {
  PlatformAddress = takeAddress();
  NextEnginePort = NextPort;
  if (Shape.ShareEngineProcess)
    NextPort += engineCount(Shape);
  for (const DomainShape &Domain : Shape.Domains) {
    for (unsigned I = 1; I <= Domain.Entries; ++I)
      planMember(Shape, Domain, Domain.Name + "-entry-" + std::to_string(I),
                 true, core::TargetKind::Engine);
    for (unsigned I = 1; I <= Domain.Engines; ++I)
      planMember(Shape, Domain, Domain.Name + "-engine-" + std::to_string(I),
                 false, core::TargetKind::Engine);
    for (unsigned I = 1; I <= Domain.Services; ++I)
      planMember(Shape, Domain, Domain.Name + "-service-" + std::to_string(I),
                 false, core::TargetKind::Service);
  }
  json::array Hosts;
  for (const auto *Members : {&Entries, &Agents})
    for (const FleetMember &Member : *Members)
      Hosts.push_back(json::object{
          {"host", Member.Host},
          {"role", Members == &Entries ? "entry" : "agent"},
          {"region",
           json::parse(readFile(Directory + "/" + Member.Host + ".json"))
               .at("region")},
          {"failure_domain", Member.FailureDomain},
          {"address", Member.PeerAddress},
          {"state", "live"}});
  HostsJson = json::serialize(json::object{{"hosts", std::move(Hosts)}});
}

void Fleet::planMember(const FleetShape &Shape, const DomainShape &Domain,
                       const std::string &Host, bool IsEntry,
                       core::TargetKind Target) {
  FleetMember Member;
  Member.Host = Host;
  Member.FailureDomain = Domain.Name;
  Member.HttpAddress = takeAddress();
  Member.PeerAddress = takeAddress();
  Member.TargetKind = Target;
  if (!IsEntry)
    Member.TargetAddress =
        Shape.ShareEngineProcess && Target == core::TargetKind::Engine
            ? loopback(NextEnginePort++)
            : takeAddress();
  writeFile(Directory + "/" + Host + ".json", settings(Shape, Domain, Member));
  (IsEntry ? Entries : Agents).push_back(std::move(Member));
}

std::string Fleet::settings(const FleetShape &Shape, const DomainShape &Domain,
                            const FleetMember &Member) const {
  json::object Document{
      {"host", Member.Host},
      {"region", Domain.Region},
      {"failure_domain", Domain.Name},
      {"listen", json::object{{"http", Member.HttpAddress},
                              {"peers", Member.PeerAddress}}},
      {"platform", json::object{{"key_value", PlatformAddress},
                                {"host_list", PlatformAddress},
                                {"origin", PlatformAddress}}},
      {"log_level", "warning"}};
  if (Member.TargetAddress.empty())
    return json::serialize(Document);
  json::object Target{{"address", Member.TargetAddress}, {"kind", "engine"}};
  if (Member.TargetKind == core::TargetKind::Service) {
    Target["kind"] = "service";
    Target["serves"] = ServiceEntry;
  }
  Document["target"] = std::move(Target);
  Document["bandwidth"] =
      json::object{{"uplink_bytes_per_second", Shape.Uplink},
                   {"downlink_bytes_per_second", Shape.Downlink},
                   {"region_link_bytes_per_second", Shape.RegionLink}};
  if (!Shape.Planner.empty())
    Document["weights"] = json::object{{"planner", Shape.Planner}};
  return json::serialize(Document);
}

core::Result<void, FleetError>
Fleet::startStandin(const std::string &Name, std::vector<std::string> Arguments,
                    const std::vector<std::string> &Options,
                    std::unique_ptr<Process> &Into) {
  Arguments.insert(Arguments.begin(), ROSEMARYLANE_STANDIN);
  Arguments.insert(Arguments.end(), Options.begin(), Options.end());
  return Process::start(std::move(Arguments), logPath(Name))
      .map(
          [&](std::unique_ptr<Process> Started) { Into = std::move(Started); });
}

core::Result<void, FleetError> Fleet::startTarget(const FleetShape &Shape,
                                                  FleetMember &Agent) {
  std::string Name = Agent.Host + "-target";
  if (Agent.TargetKind == core::TargetKind::Service)
    return startStandin(Name, {"service", "--listen", Agent.TargetAddress},
                        Shape.ServiceOptions, Agent.Target);
  if (!Shape.ShareEngineProcess)
    return startStandin(Name, {"engine", "--listen", Agent.TargetAddress},
                        Shape.EngineOptions, Agent.Target);
  if (SharedEngines)
    return {};
  return startStandin("engines",
                      {"engine", "--listen", Agent.TargetAddress, "--count",
                       std::to_string(engineCount(Shape)), "--threads",
                       std::to_string(SharedEngineThreads)},
                      Shape.EngineOptions, SharedEngines);
}

core::Result<void, FleetError> Fleet::startStandins(const FleetShape &Shape) {
  auto Done =
      startStandin("platform", {"platform", "--listen", PlatformAddress},
                   Shape.PlatformOptions, Platform);
  for (FleetMember &Agent : Agents)
    if (Done)
      Done = startTarget(Shape, Agent);
  if (Done)
    Done = waitAnswering(*Platform, PlatformAddress, "/v1/hosts");
  for (FleetMember &Agent : Agents)
    if (Done)
      Done = waitAnswering(Agent.Target ? *Agent.Target : *SharedEngines,
                           Agent.TargetAddress, "/control/v1/state");
  if (!Done)
    return Done;
  return Http->send("PUT", PlatformAddress, "/v1/hosts", HostsJson)
      .map([](const std::string &) {});
}

core::Result<void, FleetError> Fleet::startPrograms() {
  for (auto *Members : {&Agents, &Entries})
    for (FleetMember &Member : *Members)
      if (auto Done = restart(Member); !Done)
        return Done;
  for (auto *Members : {&Agents, &Entries})
    for (FleetMember &Member : *Members)
      if (auto Done =
              waitAnswering(*Member.Program, Member.HttpAddress, "/healthz");
          !Done)
        return Done;
  return {};
}

core::Result<void, FleetError> Fleet::restart(FleetMember &Member) {
  const char *Command = Member.TargetAddress.empty() ? "entry" : "agent";
  return Process::start({ROSEMARYLANE_PROGRAM, Command, "--settings",
                         Directory + "/" + Member.Host + ".json"},
                        logPath(Member.Host))
      .map([&](std::unique_ptr<Process> Started) {
        Member.Program = std::move(Started);
      });
}

core::Result<void, FleetError> Fleet::waitAnswering(Process &Of,
                                                    const std::string &Address,
                                                    const std::string &Target) {
  std::string Last;
  bool Answers = false;
  waitFor(StartLimit, [&] {
    auto Answer = Http->get(Address, Target);
    if (!Answer)
      Last = Answer.error().Detail;
    Answers = Answer.has_value();
    return Answers || !Of.running();
  });
  if (Answers)
    return {};
  if (auto Code = Of.waitForExit(std::chrono::milliseconds(0)))
    Last += "; ended with " + std::to_string(*Code);
  return core::failure(FleetError{"does not answer: " + Last});
}

bool Fleet::waitFor(std::chrono::milliseconds Limit,
                    const std::function<bool()> &Condition) {
  auto Deadline = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= Deadline)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

core::Result<core::Digest, FleetError>
Fleet::makeVersion(const std::string &Name, std::uint64_t Bytes,
                   std::uint64_t ChunkBytes, std::uint64_t Seed) {
  json::object Wanted{{"name", Name},
                      {"bytes", Bytes},
                      {"chunk_bytes", ChunkBytes},
                      {"seed", Seed}};
  auto Answer = Http->send("PUT", PlatformAddress, "/v1/versions",
                           json::serialize(Wanted));
  if (!Answer)
    return core::failure(Answer.error());
  boost::system::error_code Error;
  json::value Document = json::parse(*Answer, Error);
  if (!Error && Document.is_object())
    if (const json::value *Text = Document.as_object().if_contains("digest"))
      if (auto Version = core::Digest::parse(Text->as_string()))
        return *Version;
  return core::failure(FleetError{"no digest in " + *Answer});
}

core::Result<void, FleetError> Fleet::apply(const std::string &EntriesJson) {
  json::object Document{
      {"workspaces",
       json::array{workspace("operations", "operator", OperatorToken),
                   workspace(CallerWorkspace, "caller", CallerToken)}},
      {"entries", json::parse(EntriesJson)}};
  std::string Path = Directory + "/catalogue.json";
  writeFile(Path, json::serialize(Document));
  return ctl({"apply", Path});
}

core::Result<std::unique_ptr<Process>, FleetError>
Fleet::startCtl(std::vector<std::string> Arguments) {
  std::string TokenPath = Directory + "/token";
  writeFile(TokenPath, OperatorToken);
  std::vector<std::string> Command{
      ROSEMARYLANE_PROGRAM,        "ctl",          "--server",
      Entries.front().HttpAddress, "--token-file", TokenPath};
  Command.insert(Command.end(), Arguments.begin(), Arguments.end());
  return Process::start(std::move(Command), logPath("ctl"));
}

core::Result<void, FleetError> Fleet::ctl(std::vector<std::string> Arguments) {
  auto Started = startCtl(std::move(Arguments));
  if (!Started)
    return core::failure(Started.error());
  if ((*Started)->waitForExit(CtlLimit) == 0)
    return {};
  return core::failure(FleetError{"ctl failed: " + readFile(logPath("ctl"))});
}

core::Result<void, FleetError>
Fleet::waitLoaded(const core::Digest &Version,
                  std::chrono::milliseconds Limit) {
  auto Deadline = std::chrono::steady_clock::now() + Limit;
  for (FleetMember &Agent : Agents) {
    if (Agent.TargetKind != core::TargetKind::Engine)
      continue;
    auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
        Deadline - std::chrono::steady_clock::now());
    bool Loaded = waitFor(Left, [&] {
      auto State = Http->get(Agent.TargetAddress, "/control/v1/state");
      return State && hasLoaded(*State, Version.hex());
    });
    if (!Loaded)
      return core::failure(FleetError{Agent.Host + " has not loaded " +
                                      Version.hex() + " in time"});
  }
  return {};
}

core::Result<void, FleetError> Fleet::setFaults(const std::string &Address,
                                                const std::string &Json) {
  return Http->send("POST", Address, "/faults", Json)
      .map([](const std::string &) {});
}

core::Result<void, FleetError> Fleet::stop() {
  std::string Unclean;
  auto StopAll = [&](std::vector<std::pair<std::string, Process *>> Group) {
    for (auto &[Name, Child] : Group)
      Child->signal(SIGTERM);
    for (auto &[Name, Child] : Group) {
      auto Code = Child->waitForExit(StopLimit);
      if (Code != 0)
        Unclean += Name + " ended with " +
                   (Code ? std::to_string(*Code) : "nothing") + "; ";
    }
  };
  std::vector<std::pair<std::string, Process *>> Fronts;
  std::vector<std::pair<std::string, Process *>> Backs;
  std::vector<std::pair<std::string, Process *>> Targets{
      {"platform", Platform.get()}};
  for (FleetMember &Entry : Entries)
    Fronts.emplace_back(Entry.Host, Entry.Program.get());
  for (FleetMember &Agent : Agents) {
    Backs.emplace_back(Agent.Host, Agent.Program.get());
    if (Agent.Target)
      Targets.emplace_back(Agent.Host + "-target", Agent.Target.get());
  }
  if (SharedEngines)
    Targets.emplace_back("engines", SharedEngines.get());
  StopAll(std::move(Fronts));
  StopAll(std::move(Backs));
  StopAll(std::move(Targets));
  if (Unclean.empty())
    return {};
  return core::failure(FleetError{Unclean});
}

} // namespace rosemarylane::bench
