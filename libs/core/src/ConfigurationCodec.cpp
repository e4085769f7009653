#include "core/ConfigurationCodec.h"

#include "ConfigurationJson.h"
#include "ConfigurationSchema.h"
#include "core/DocumentSchema.h"

#include <algorithm>
#include <boost/json.hpp>
#include <map>

namespace rosemarylane::core {

namespace json = boost::json;

namespace {

constexpr std::string_view ClassNames[] = {"interactive", "standard", "batch"};

std::string text(const json::value &Value) {
  return std::string(Value.as_string());
}

std::string textOr(const json::object &Object, std::string_view Key,
                   std::string_view Default) {
  const json::value *Value = Object.if_contains(Key);
  return Value ? text(*Value) : std::string(Default);
}

template <typename Number>
Number numberOr(const json::object &Object, std::string_view Key,
                Number Default) {
  const json::value *Value = Object.if_contains(Key);
  return Value ? Value->to_number<Number>() : Default;
}

/// Calls \p Visit with each string of the array at \p Key, if present.
template <typename Visitor>
void forEachName(const json::object &Object, std::string_view Key,
                 Visitor Visit) {
  if (const json::value *List = Object.if_contains(Key))
    for (const json::value &Name : List->as_array())
      Visit(text(Name));
}

TrafficClass readClass(const json::object &Object) {
  std::string Name = textOr(Object, "class", "standard");
  auto Found = std::find(std::begin(ClassNames), std::end(ClassNames), Name);
  return static_cast<TrafficClass>(Found - std::begin(ClassNames));
}

Limits readLimits(const json::object &Entry) {
  Limits Result;
  const json::value *Value = Entry.if_contains("limits");
  if (!Value)
    return Result;
  const json::object &Object = Value->as_object();
  Result.Concurrency = numberOr(Object, "concurrency", Result.Concurrency);
  Result.RatePerSecond =
      numberOr(Object, "rate_per_second", Result.RatePerSecond);
  Result.Queue = numberOr(Object, "queue", Result.Queue);
  return Result;
}

Workspace readWorkspace(const json::object &Object) {
  Workspace Result;
  Result.Name = WorkspaceId(text(Object.at("name")));
  if (textOr(Object, "role", "caller") == "operator")
    Result.Role = WorkspaceRole::Operator;
  Result.TokenDigest = *Digest::parse(text(Object.at("token_sha256")));
  Result.Concurrency = numberOr(Object, "concurrency", Result.Concurrency);
  return Result;
}

CatalogueEntry readEntry(const json::object &Object) {
  CatalogueEntry Result;
  Result.Name = EntryName(text(Object.at("name")));
  Result.Owner = WorkspaceId(text(Object.at("owner")));
  if (textOr(Object, "kind", "engine") == "service")
    Result.Kind = TargetKind::Service;
  Result.Class = readClass(Object);
  Result.Limit = readLimits(Object);
  Result.Replicas = numberOr(Object, "replicas", Result.Replicas);
  Result.ServingFloor = numberOr(Object, "serving_floor", Result.ServingFloor);
  forEachName(Object, "failure_domains", [&](std::string Name) {
    Result.FailureDomains.emplace_back(std::move(Name));
  });
  if (const json::value *Value = Object.if_contains("idempotent"))
    Result.Idempotent = Value->as_bool();
  if (const json::value *Value = Object.if_contains("base_model"))
    Result.BaseModel = EntryName(text(*Value));
  if (const json::value *Value = Object.if_contains("version"))
    Result.Version = *Digest::parse(text(*Value));
  return Result;
}

/// Reads a document that has been validated against the schema.
Configuration readConfiguration(const json::object &Object) {
  Configuration Result;
  Result.Revision = numberOr<std::uint64_t>(Object, "revision", 0);
  if (const json::value *List = Object.if_contains("workspaces"))
    for (const json::value &Item : List->as_array())
      Result.Workspaces.push_back(readWorkspace(Item.as_object()));
  if (const json::value *List = Object.if_contains("entries"))
    for (const json::value &Item : List->as_array())
      Result.Entries.push_back(readEntry(Item.as_object()));
  if (const json::value *Out = Object.if_contains("out_of_service")) {
    forEachName(Out->as_object(), "failure_domains", [&](std::string Name) {
      Result.OutOfServiceFailureDomains.emplace(std::move(Name));
    });
    forEachName(Out->as_object(), "hosts", [&](std::string Name) {
      Result.OutOfServiceHosts.emplace(std::move(Name));
    });
  }
  return Result;
}

std::string quoted(std::string_view Text) {
  return json::serialize(json::string(Text));
}

/// Validates the constraints that the schema cannot express: unique names and
/// tokens, references between entries and workspaces, and keys that depend on
/// each other.
class ReferenceCheck {
public:
  explicit ReferenceCheck(const Configuration &Config) : Config(Config) {}

  DocumentErrors run() {
    for (std::size_t I = 0; I < Config.Workspaces.size(); ++I)
      checkWorkspace(I);
    for (std::size_t I = 0; I < Config.Entries.size(); ++I)
      checkEntry(I);
    return std::move(Errors);
  }

private:
  void report(const std::string &Path, std::string_view Key, std::string Found,
              std::string Expected) {
    Errors.push_back(
        {Path + "." + std::string(Key), std::move(Found), std::move(Expected)});
  }

  void checkWorkspace(std::size_t Index) {
    const Workspace &W = Config.Workspaces[Index];
    std::string Path = "$.workspaces[" + std::to_string(Index) + "]";
    // The all-zero digest means "no token" wherever tokens are compared.
    if (W.TokenDigest.none())
      report(Path, "token_sha256", quoted(W.TokenDigest.hex()),
             "the digest of a token, not all zeros");
    for (std::size_t I = 0; I < Index; ++I) {
      std::string Other = "$.workspaces[" + std::to_string(I) + "]";
      if (Config.Workspaces[I].Name == W.Name)
        report(Path, "name", quoted(W.Name.str()),
               "a name that no other workspace has (also at " + Other + ")");
      if (Config.Workspaces[I].TokenDigest == W.TokenDigest)
        report(Path, "token_sha256", quoted(W.TokenDigest.hex()),
               "a token that no other workspace has (also at " + Other + ")");
    }
  }

  void checkEntry(std::size_t Index) {
    const CatalogueEntry &E = Config.Entries[Index];
    std::string Path = "$.entries[" + std::to_string(Index) + "]";
    for (std::size_t I = 0; I < Index; ++I)
      if (Config.Entries[I].Name == E.Name)
        report(Path, "name", quoted(E.Name.str()),
               "a name that no other entry has (also at $.entries[" +
                   std::to_string(I) + "])");
    if (!hasWorkspace(E.Owner))
      report(Path, "owner", quoted(E.Owner.str()),
             "the name of a workspace of this document");
    if (E.ServingFloor > E.Replicas)
      report(Path, "serving_floor", std::to_string(E.ServingFloor),
             "at most the replicas, " + std::to_string(E.Replicas));
    if (E.Kind == TargetKind::Service)
      checkService(E, Path);
    else
      checkEngine(E, Path);
  }

  void checkService(const CatalogueEntry &E, const std::string &Path) {
    if (!E.Version.none())
      report(Path, "version", quoted("sha256:" + E.Version.hex()),
             "no version: a plain service has none");
    if (E.BaseModel)
      report(Path, "base_model", quoted(E.BaseModel->str()),
             "no base model: a plain service has none");
  }

  void checkEngine(const CatalogueEntry &E, const std::string &Path) {
    if (E.Version.none())
      report(Path, "version", "nothing",
             "the digest of the version's manifest: \"sha256:\" and 64 "
             "hexadecimal digits");
    if (!E.BaseModel)
      return;
    const CatalogueEntry *Base = Config.entry(*E.BaseModel);
    if (!Base || Base->Kind != TargetKind::Engine || Base->BaseModel)
      report(Path, "base_model", quoted(E.BaseModel->str()),
             "the name of a model entry of this document that is not an "
             "adapter");
  }

  bool hasWorkspace(const WorkspaceId &Name) const {
    return std::any_of(Config.Workspaces.begin(), Config.Workspaces.end(),
                       [&](const Workspace &W) { return W.Name == Name; });
  }

  const Configuration &Config;
  DocumentErrors Errors;
};

const DocumentSchema &schema() {
  static const std::unique_ptr<DocumentSchema> Schema =
      DocumentSchema::create(ConfigurationSchema);
  return *Schema;
}

template <typename List> json::array writeNames(const List &Names) {
  json::array Result;
  for (const auto &Name : Names)
    Result.emplace_back(Name.str());
  return Result;
}

json::object writeWorkspace(const Workspace &W) {
  return {{"name", W.Name.str()},
          {"role", W.Role == WorkspaceRole::Operator ? "operator" : "caller"},
          {"token_sha256", W.TokenDigest.hex()},
          {"concurrency", W.Concurrency}};
}

} // namespace

json::object writeEntryJson(const CatalogueEntry &Entry) {
  json::object Result{
      {"name", Entry.Name.str()},
      {"owner", Entry.Owner.str()},
      {"kind", Entry.Kind == TargetKind::Service ? "service" : "engine"},
      {"class",
       json::string(ClassNames[static_cast<std::size_t>(Entry.Class)])},
      {"limits",
       {{"concurrency", Entry.Limit.Concurrency},
        {"rate_per_second", Entry.Limit.RatePerSecond},
        {"queue", Entry.Limit.Queue}}},
      {"replicas", Entry.Replicas},
      {"serving_floor", Entry.ServingFloor},
      {"failure_domains", writeNames(Entry.FailureDomains)},
      {"idempotent", Entry.Idempotent}};
  if (Entry.BaseModel)
    Result["base_model"] = Entry.BaseModel->str();
  if (!Entry.Version.none())
    Result["version"] = "sha256:" + Entry.Version.hex();
  return Result;
}

Result<Configuration, DocumentErrors>
readConfigurationJson(const json::value &Document) {
  DocumentErrors Errors = schema().check(Document);
  if (!Errors.empty())
    return failure(std::move(Errors));
  Configuration Config = readConfiguration(Document.as_object());
  Errors = ReferenceCheck(Config).run();
  if (!Errors.empty())
    return failure(std::move(Errors));
  return Config;
}

json::object writeConfigurationJson(const Configuration &Config) {
  json::array Workspaces;
  for (const Workspace &W : Config.Workspaces)
    Workspaces.push_back(writeWorkspace(W));
  json::array Entries;
  for (const CatalogueEntry &E : Config.Entries)
    Entries.push_back(writeEntryJson(E));
  return {{"revision", Config.Revision},
          {"workspaces", std::move(Workspaces)},
          {"entries", std::move(Entries)},
          {"out_of_service",
           {{"failure_domains", writeNames(Config.OutOfServiceFailureDomains)},
            {"hosts", writeNames(Config.OutOfServiceHosts)}}}};
}

Result<Configuration, DocumentErrors>
parseConfiguration(std::string_view Json) {
  auto Document = parseDocument(Json);
  if (!Document)
    return failure(std::move(Document.error()));
  return readConfigurationJson(*Document);
}

std::string formatConfiguration(const Configuration &Config) {
  return json::serialize(writeConfigurationJson(Config));
}

} // namespace rosemarylane::core
