#include "Command.h"
#include "common/CommandLine.h"
#include "core/DocumentSchema.h"
#include "core/StoredConfiguration.h"
#include "ctl/AdminClient.h"
#include "ctl/CtlOptions.h"
#include "ctl/Progress.h"
#include "ctl/Table.h"

#include <boost/json.hpp>
#include <chrono>
#include <ctime>
#include <iostream>
#include <thread>

namespace rosemarylane {

namespace json = boost::json;

namespace {

using namespace std::chrono_literals;

constexpr auto WatchInterval = 500ms;

std::string text(const json::value &Object, std::string_view Key) {
  const json::value *Value = Object.as_object().if_contains(Key);
  if (!Value)
    return "-";
  return Value->is_string() ? std::string(Value->as_string())
                            : json::serialize(*Value);
}

/// @return the time as `2026-01-31T23:59:59Z`.
std::string timeText(std::int64_t Milliseconds) {
  std::time_t Seconds = Milliseconds / 1000;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Text[32];
  std::strftime(Text, sizeof(Text), "%FT%TZ", &Parts);
  return Text;
}

/// Prints what the service refused, and picks the exit code.
ExitCode refused(const http::Response &Answer) {
  std::cerr << Answer.Head.Status << ": " << Answer.Body << "\n";
  switch (Answer.Head.Status) {
  case 412:
    return ExitCode::Conflict;
  case 422:
    return ExitCode::Invalid;
  default:
    return ExitCode::Failed;
  }
}

/// Runs the commands of one command line.
class Ctl {
public:
  explicit Ctl(CtlOptions Given)
      : Options(std::move(Given)), Client(Options.Server, Options.Token) {}

  ExitCode run() {
    const std::string &Name = Options.Words.front();
    std::size_t Arguments = Options.Words.size() - 1;
    for (const Command &C : commands())
      if (C.Name == Name && C.MinArguments <= Arguments &&
          Arguments <= C.MaxArguments)
        return (this->*C.Run)();
    std::cerr << "rosemarylane ctl: wrong command or number of arguments; see "
                 "--help\n";
    return ExitCode::Usage;
  }

private:
  struct Command {
    std::string_view Name;
    std::size_t MinArguments;
    std::size_t MaxArguments;
    ExitCode (Ctl::*Run)();
  };

  static const std::vector<Command> &commands() {
    static const std::vector<Command> All{
        {"get", 0, 0, &Ctl::get},         {"apply", 1, 1, &Ctl::apply},
        {"diff", 1, 1, &Ctl::diff},       {"history", 0, 0, &Ctl::history},
        {"out", 2, 2, &Ctl::order},       {"in", 2, 2, &Ctl::order},
        {"rollout", 0, 1, &Ctl::rollout}, {"status", 0, 0, &Ctl::status},
    };
    return All;
  }

  /// Takes the JSON body of a successful answer; otherwise prints why there is
  /// none.
  core::Result<json::value, ExitCode>
  body(core::Result<http::Response, std::string> Answer) {
    if (!Answer) {
      std::cerr << "rosemarylane ctl: " << Answer.error() << "\n";
      return core::failure(ExitCode::Unreachable);
    }
    if (Answer->Head.Status != 200)
      return core::failure(refused(*Answer));
    auto Value = core::parseDocument(Answer->Body);
    if (!Value) {
      std::cerr << "rosemarylane ctl: the answer is not JSON\n";
      return core::failure(ExitCode::Failed);
    }
    return std::move(*Value);
  }

  /// Prints the answer as JSON if asked to.
  bool printedJson(const json::value &Answer) const {
    if (Options.JsonOutput)
      std::cout << json::serialize(Answer) << std::endl;
    return Options.JsonOutput;
  }

  core::Result<std::string, ExitCode> file() {
    auto Contents = readFile(Options.Words[1]);
    if (!Contents) {
      std::cerr << "rosemarylane ctl: " << Contents.error() << "\n";
      return core::failure(ExitCode::Failed);
    }
    return std::move(*Contents);
  }

  ExitCode get() {
    auto Answer = body(Client.get("catalogue"));
    if (!Answer)
      return Answer.error();
    if (printedJson(*Answer))
      return ExitCode::Ok;
    std::cout << "revision " << text(*Answer, "revision") << "\n";
    Table Entries({"ENTRY", "OWNER", "KIND", "CLASS", "REPLICAS", "VERSION"});
    for (const json::value &Entry : Answer->at("entries").as_array())
      Entries.add({text(Entry, "name"), text(Entry, "owner"),
                   text(Entry, "kind"), text(Entry, "class"),
                   text(Entry, "replicas"), text(Entry, "version")});
    Entries.print(std::cout);
    std::cout << "out of service: " << text(*Answer, "out_of_service") << "\n";
    return ExitCode::Ok;
  }

  ExitCode apply() {
    auto Document = file();
    if (!Document)
      return Document.error();
    auto Parsed = core::parseConfiguration(*Document);
    if (!Parsed) {
      std::cerr << core::formatErrors(Parsed.error());
      return ExitCode::Invalid;
    }
    auto Revision = baseRevision(*Parsed);
    if (!Revision)
      return Revision.error();
    auto Answer =
        body(Client.send("PUT", "catalogue", std::move(*Document), *Revision));
    if (!Answer)
      return Answer.error();
    printChange(*Answer);
    return ExitCode::Ok;
  }

  /// @return the revision that the document builds on.
  core::Result<std::string, ExitCode>
  baseRevision(const core::Configuration &Document) {
    if (Options.Revision)
      return *Options.Revision;
    if (Document.Revision != 0)
      return std::to_string(Document.Revision);
    return currentRevision();
  }

  /// @return the revision in force; 0 when there is no configuration yet, when
  /// no token is known to the service.
  core::Result<std::string, ExitCode> currentRevision() {
    auto Answer = Client.get("catalogue");
    if (Answer && Answer->Head.Status == 401)
      return std::string("0");
    auto Document = body(std::move(Answer));
    if (!Document)
      return core::failure(Document.error());
    return text(*Document, "revision");
  }

  void printChange(const json::value &Change) {
    if (printedJson(Change))
      return;
    std::cout << "revision " << text(Change, "revision") << "\n";
    for (const json::value &Line : Change.at("summary").as_array())
      std::cout << "  " << std::string(Line.as_string()) << "\n";
  }

  ExitCode diff() {
    auto Document = file();
    if (!Document)
      return Document.error();
    auto Answer = body(Client.get("catalogue"));
    if (!Answer)
      return Answer.error();
    auto Current = core::parseConfiguration(json::serialize(*Answer));
    auto Next = core::parseReplacement(
        *Document, Current ? *Current : core::Configuration());
    if (!Next || !Current) {
      std::cerr << core::formatErrors(Next ? Current.error() : Next.error());
      return ExitCode::Invalid;
    }
    json::array Lines;
    for (const std::string &Line : core::describeDifference(*Current, *Next))
      Lines.emplace_back(Line);
    json::object Change{{"revision", Current->Revision},
                        {"summary", std::move(Lines)}};
    printChange(Change);
    return ExitCode::Ok;
  }

  ExitCode history() {
    auto Answer = body(Client.get("history"));
    if (!Answer)
      return Answer.error();
    if (printedJson(*Answer))
      return ExitCode::Ok;
    for (const json::value &Change : Answer->at("history").as_array()) {
      std::cout << "revision " << text(Change, "revision") << "  by "
                << text(Change, "by") << "  "
                << timeText(Change.at("at_ms").to_number<std::int64_t>())
                << "  " << text(Change, "id") << "\n";
      for (const json::value &Line : Change.at("summary").as_array())
        std::cout << "  " << std::string(Line.as_string()) << "\n";
    }
    return ExitCode::Ok;
  }

  ExitCode order() {
    const std::string &Name = Options.Words[2];
    std::string Kind = Options.Words[1];
    if (Kind != "failure-domain" && Kind != "host") {
      std::cerr << "rosemarylane ctl: give failure-domain or host\n";
      return ExitCode::Usage;
    }
    bool Out = Options.Words[0] == "out";
    Kind = Kind == "host" ? "host" : "failure_domain";
    json::object Order{{Kind, Name}, {"out", Out}};
    auto Answer =
        body(Client.send("POST", "out-of-service", json::serialize(Order)));
    if (!Answer)
      return Answer.error();
    printChange(*Answer);
    if (!Options.Watch || !Out)
      return ExitCode::Ok;
    return watchDrain(Kind, Name,
                      Answer->at("revision").to_number<std::uint64_t>());
  }

  ExitCode watchDrain(const std::string &Kind, const std::string &Name,
                      std::uint64_t Revision) {
    for (;;) {
      auto Status = body(Client.get("status"));
      if (!Status)
        return Status.error();
      DrainProgress Progress = drainProgress(*Status, Kind, Name, Revision);
      if (!printedJson(json::object{{"agents", Progress.Agents},
                                    {"behind", Progress.Behind},
                                    {"in_progress", Progress.InProgress}}))
        std::cout << Progress.Agents << " agents, " << Progress.Behind
                  << " not yet told, " << Progress.InProgress
                  << " requests in progress" << std::endl;
      if (Progress.done())
        return ExitCode::Ok;
      std::this_thread::sleep_for(WatchInterval);
    }
  }

  ExitCode rollout() {
    for (;;) {
      auto Catalogue = body(Client.get("catalogue"));
      if (!Catalogue)
        return Catalogue.error();
      auto Status = body(Client.get("status"));
      if (!Status)
        return Status.error();
      bool Done = printRollout(rolloutProgress(*Catalogue, *Status));
      if (Done || !Options.Watch)
        return ExitCode::Ok;
      std::this_thread::sleep_for(WatchInterval);
    }
  }

  /// @return whether every entry shown is done.
  bool printRollout(const std::vector<RolloutProgress> &All) {
    bool Done = true;
    json::array List;
    Table Rows({"ENTRY", "SERVING", "OLDER", "FETCHING", "LOAD ERRORS"});
    for (const RolloutProgress &P : All) {
      if (Options.Words.size() > 1 && Options.Words[1] != P.Entry)
        continue;
      Done = Done && P.done();
      List.push_back(
          json::object{{"entry", P.Entry},
                       {"version", P.Version},
                       {"wanted", P.Wanted},
                       {"serving", P.Serving},
                       {"older", P.Older},
                       {"fetching", P.Fetching},
                       {"load_errors", json::value_from(P.LoadErrors)},
                       {"done", P.done()}});
      Rows.add({P.Entry,
                std::to_string(P.Serving) + "/" + std::to_string(P.Wanted),
                std::to_string(P.Older), std::to_string(P.Fetching),
                P.LoadErrors.empty() ? "-" : P.LoadErrors.front()});
    }
    if (!printedJson(json::object{{"rollout", std::move(List)}}))
      Rows.print(std::cout);
    std::cout.flush();
    return Done;
  }

  ExitCode status() {
    auto Answer = body(Client.get("status"));
    if (!Answer)
      return Answer.error();
    if (printedJson(*Answer))
      return ExitCode::Ok;
    std::cout << "revision " << text(*Answer, "revision") << "\n";
    Table Rows({"HOST", "ROLE", "FAILURE DOMAIN", "REVISION", "ALIVE",
                "DRAINING", "OUT", "IN PROGRESS", "SERVES"});
    for (const json::value &Member : Answer->at("members").as_array())
      Rows.add({text(Member, "host"), text(Member, "role"),
                text(Member, "failure_domain"), text(Member, "revision"),
                text(Member, "alive"), text(Member, "draining"),
                text(Member, "out_of_service"), text(Member, "in_progress"),
                servedNames(Member)});
    Rows.print(std::cout);
    return ExitCode::Ok;
  }

  static std::string servedNames(const json::value &Member) {
    std::string Names;
    for (const json::value &Held : Member.at("holdings").as_array())
      if (text(Held, "serving") == "true")
        Names += (Names.empty() ? "" : " ") + text(Held, "entry");
    return Names.empty() ? "-" : Names;
  }

  CtlOptions Options;
  AdminClient Client;
};

} // namespace

ExitCode runCtl(int Argc, const char **Argv) {
  auto Options = parseCtlOptions(Argc, Argv);
  if (!Options)
    return Options.error();
  return Ctl(std::move(*Options)).run();
}

} // namespace rosemarylane
