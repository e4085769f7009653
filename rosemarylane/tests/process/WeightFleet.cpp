#include "WeightFleet.h"

#include "Completion.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <sstream>

namespace rosemarylane::process_tests {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t ChunkBytes = 64 << 10;
constexpr auto LoadLimit = 30s;

FleetOptions engines(std::vector<std::string> Arguments) {
  FleetOptions Options;
  Options.EntriesPerDomain = 1;
  Options.EnginesPerDomain = 2;
  Options.Services = 0;
  Options.EngineArguments = std::move(Arguments);
  return Options;
}

} // namespace

WeightFleet::WeightFleet(std::vector<std::string> EngineArguments)
    : Running(engines(std::move(EngineArguments))) {
  Fleet::await("every engine has loaded the first version", LoadLimit,
               [&] { return loadedBy("") == 0; });
}

std::string WeightFleet::expectedText(const std::string &Version,
                                      const std::string &Prompt) {
  standins::CompletionSource Source;
  Source.Model = "draft";
  Source.Version = Version;
  Source.Prompt = Prompt;
  Source.Tokens = Fleet::TokensOfAnswer;
  return Source.text();
}

std::string WeightFleet::makeVersion(int Seed) {
  json::object Made{{"name", "draft"},
                    {"bytes", Chunks * ChunkBytes},
                    {"chunk_bytes", ChunkBytes},
                    {"seed", Seed}};
  auto Answer = Running.caller().call(
      Running.platform(), {"PUT", "/v1/versions", {}, json::serialize(Made)});
  return std::string(Answer.json().at("digest").as_string());
}

CallResult WeightFleet::admin(const std::string &Method,
                              const std::string &Path, const std::string &Body,
                              const std::string &Match) {
  http::Request Request{
      Method, Path, {{"Authorization", "Bearer operator-token"}}, Body};
  if (!Match.empty())
    Request.Fields.set("If-Match", Match);
  return Running.caller().call(Running.entries().front()->Http, Request);
}

void WeightFleet::rollOut(const std::string &Version, unsigned ServingFloor,
                          const std::optional<Adapter> &WithAdapter) {
  Fleet::await("the catalogue is changed", LoadLimit, [&] {
    CallResult Current = admin("GET", "/admin/v1/catalogue", "", "");
    if (!Current.ok())
      return false;
    json::object Document = Current.json().as_object();
    json::object &Entry = Document.at("entries").as_array().at(0).as_object();
    Entry["version"] = Version;
    Entry["serving_floor"] = ServingFloor;
    if (WithAdapter)
      Document.at("entries").as_array().push_back(
          json::object{{"name", AdapterName},
                       {"owner", "registry"},
                       {"kind", "engine"},
                       {"class", "batch"},
                       {"limits", {{"concurrency", 8}}},
                       {"replicas", WithAdapter->Replicas},
                       {"base_model", Model},
                       {"version", WithAdapter->Version}});
    json::object Next{{"workspaces", Document.at("workspaces")},
                      {"entries", Document.at("entries")}};
    CallResult Changed =
        admin("PUT", "/admin/v1/catalogue", json::serialize(Next),
              std::string(Current.Answer->Head.Fields.find("ETag").value()));
    if (Changed.whole() && Changed.status() == 422)
      BOOST_FAIL("catalogue refused: " << Changed.body());
    return Changed.whole() && Changed.status() < 300;
  });
}

std::string WeightFleet::loaded(const Fleet::Host &Host,
                                const std::string &Name) {
  auto Answer = Running.caller().get(Host.Target, "/control/v1/state");
  if (!Answer.ok())
    return "";
  json::value State = Answer.json();
  for (const json::value &Loaded : State.at("loaded").as_array())
    if (Loaded.at("name").as_string() == Name)
      return std::string(Loaded.at("version").as_string());
  return "";
}

std::set<std::string> WeightFleet::chunks(const Fleet::Host &Host) {
  std::set<std::string> Result;
  auto Answer = Running.caller().get(Host.Target, "/control/v1/chunks");
  if (!Answer.ok())
    return Result;
  json::value Listed = Answer.json();
  for (const json::value &Id : Listed.at("chunks").as_array())
    Result.insert(std::string(Id.as_string()));
  return Result;
}

std::size_t WeightFleet::loadedBy(const std::string &Version,
                                  const std::string &Name) {
  std::size_t Count = 0;
  for (const Fleet::Host *Agent : agents())
    Count += loaded(*Agent, Name) == Version;
  return Count;
}

void WeightFleet::awaitLoadedByAll(const std::string &Version) {
  Fleet::await("all engines have loaded " + Version.substr(0, 8), LoadLimit,
               [&] { return loadedBy(Version) == agents().size(); });
}

std::string WeightFleet::loadErrors() {
  CallResult Status = admin("GET", "/admin/v1/status", "", "");
  std::string Errors;
  if (!Status.ok())
    return Errors;
  json::value Document = Status.json();
  for (const json::value &Member : Document.at("members").as_array())
    for (const json::value &Held : Member.at("holdings").as_array())
      if (const json::value *Error = Held.as_object().if_contains("load_error"))
        Errors += std::string(Error->as_string()) + "\n";
  return Errors;
}

unsigned WeightFleet::orderLoad(const Fleet::Host &Host,
                                const std::string &Version,
                                std::uint64_t FencingNumber) {
  json::array Held;
  for (const std::string &Id : chunks(Host))
    Held.emplace_back(Id);
  json::object Order{{"name", "draft"},
                     {"version", Version},
                     {"chunks", std::move(Held)},
                     {"fence", FencingNumber}};
  return Running.caller()
      .post(Host.Target, "/control/v1/load", json::serialize(Order))
      .status();
}

double WeightFleet::metric(const std::string &Name) {
  double Sum = 0;
  for (const Fleet::Host *Agent : agents()) {
    std::istringstream Lines(
        Running.caller().get(Agent->Http, "/metrics").body());
    for (std::string Line; std::getline(Lines, Line);)
      if (Line.starts_with(Name))
        Sum += std::stod(Line.substr(Line.rfind(' ')));
  }
  return Sum;
}

} // namespace rosemarylane::process_tests
