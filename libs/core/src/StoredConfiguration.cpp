#include "core/StoredConfiguration.h"

#include "ConfigurationJson.h"
#include "core/DocumentSchema.h"

#include <algorithm>
#include <boost/json.hpp>
#include <map>

namespace rosemarylane::core {

namespace json = boost::json;

namespace {

/// Maximum number of lines in a change's summary. Further lines are replaced by
/// their count.
constexpr std::size_t MaxSummaryLines = 8;

constexpr std::string_view StoredSchema = R"json({
  "type": "object", "description": "a stored configuration",
  "additionalProperties": true, "required": ["document", "history"],
  "properties": {
    "document": {"type": "object", "description": "a configuration"},
    "history": {"type": "array", "description": "a list of changes",
      "items": {"type": "object", "description": "a change",
        "additionalProperties": true,
        "required": ["id", "revision", "by", "at_ms", "summary"],
        "properties": {
          "id": {"type": "string", "description": "the change's id"},
          "revision": {"type": "integer", "minimum": 1, "description": "a revision"},
          "by": {"type": "string", "description": "a workspace"},
          "at_ms": {"type": "integer", "description": "milliseconds since 1970"},
          "summary": {"type": "array", "description": "a list of lines",
            "items": {"type": "string", "description": "a line"}}
        }}}
  }
})json";

constexpr std::string_view OutOfServiceRequestSchema = R"json({
  "type": "object",
  "description": "an object with \"failure_domain\" or \"host\", and \"out\"",
  "additionalProperties": false, "required": ["out"],
  "properties": {
    "failure_domain": {"type": "string", "minLength": 1, "maxLength": 128,
      "description": "the name of a failure domain"},
    "host": {"type": "string", "minLength": 1, "maxLength": 128,
      "description": "the name of a host"},
    "out": {"type": "boolean",
      "description": "true to take out of service, false to bring back"}
  }
})json";

ConfigurationChange readChange(const json::object &Object) {
  ConfigurationChange Change;
  Change.Id = std::string(Object.at("id").as_string());
  Change.Revision = Object.at("revision").to_number<std::uint64_t>();
  Change.By = WorkspaceId(std::string(Object.at("by").as_string()));
  Change.At = WallTime(
      std::chrono::milliseconds(Object.at("at_ms").to_number<std::int64_t>()));
  for (const json::value &Line : Object.at("summary").as_array())
    Change.Summary.emplace_back(Line.as_string());
  return Change;
}

json::object writeChange(const ConfigurationChange &Change) {
  json::array Summary;
  for (const std::string &Line : Change.Summary)
    Summary.emplace_back(Line);
  auto SinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(
      Change.At.time_since_epoch());
  return {{"id", Change.Id},
          {"revision", Change.Revision},
          {"by", Change.By.str()},
          {"at_ms", static_cast<std::int64_t>(SinceEpoch.count())},
          {"summary", std::move(Summary)}};
}

json::array writeHistory(const std::vector<ConfigurationChange> &Changes) {
  json::array History;
  for (const ConfigurationChange &Change : Changes)
    History.push_back(writeChange(Change));
  return History;
}

/// Appends a line to \p Lines for each key whose value differs.
void describeEntry(const CatalogueEntry &Before, const CatalogueEntry &After,
                   std::vector<std::string> &Lines) {
  json::object Old = writeEntryJson(Before);
  json::object New = writeEntryJson(After);
  std::string Start = "entry " + After.Name.str() + ": ";
  for (const auto &Property : New) {
    const json::value *Previous = Old.if_contains(Property.key());
    if (Previous && *Previous == Property.value())
      continue;
    Lines.push_back(Start + std::string(Property.key()) + " " +
                    (Previous ? truncatedJson(*Previous) : "none") + " -> " +
                    truncatedJson(Property.value()));
  }
  for (const auto &Property : Old)
    if (!New.contains(Property.key()))
      Lines.push_back(Start + std::string(Property.key()) + " " +
                      truncatedJson(Property.value()) + " -> none");
}

/// Appends a line to \p Lines for each item that was added or removed, and
/// calls \p DescribeChange for each that was changed.
template <typename Item, typename Describe>
void describeItems(const std::vector<Item> &Before,
                   const std::vector<Item> &After, const char *Noun,
                   Describe DescribeChange, std::vector<std::string> &Lines) {
  using Name = decltype(Item::Name);
  std::map<Name, const Item *> Old;
  for (const Item &I : Before)
    Old[I.Name] = &I;
  for (const Item &I : After) {
    auto Previous = Old.find(I.Name);
    if (Previous == Old.end()) {
      Lines.push_back(std::string(Noun) + " " + I.Name.str() + ": added");
      continue;
    }
    if (!(*Previous->second == I))
      DescribeChange(*Previous->second, I);
    Old.erase(Previous);
  }
  for (const auto &[RemovedName, Unused] : Old)
    Lines.push_back(std::string(Noun) + " " + RemovedName.str() + ": removed");
}

/// Appends a line to \p Lines for each name that was taken out of service or
/// returned to service.
template <typename Names>
void describeServiceStates(const Names &Before, const Names &After,
                           const char *Noun, std::vector<std::string> &Lines) {
  for (const auto &Name : After)
    if (!Before.contains(Name))
      Lines.push_back(std::string(Noun) + " " + Name.str() +
                      ": taken out of service");
  for (const auto &Name : Before)
    if (!After.contains(Name))
      Lines.push_back(std::string(Noun) + " " + Name.str() +
                      ": brought back into service");
}

} // namespace

const ConfigurationChange *
StoredConfiguration::change(std::string_view Id) const {
  auto Found = std::find_if(
      History.begin(), History.end(),
      [&](const ConfigurationChange &Change) { return Change.Id == Id; });
  return Found == History.end() ? nullptr : &*Found;
}

Result<StoredConfiguration, DocumentErrors>
parseStoredConfiguration(std::string_view Json) {
  if (Json.empty())
    return StoredConfiguration();
  auto Value = parseDocument(Json);
  if (!Value)
    return failure(std::move(Value.error()));
  static const auto Schema = DocumentSchema::create(StoredSchema);
  DocumentErrors Errors = Schema->check(*Value);
  if (!Errors.empty())
    return failure(std::move(Errors));
  auto Current = readConfigurationJson(Value->at("document"));
  if (!Current)
    return failure(std::move(Current.error()));
  StoredConfiguration Stored{std::move(*Current), {}};
  for (const json::value &Change : Value->at("history").as_array())
    Stored.History.push_back(readChange(Change.as_object()));
  return Stored;
}

std::string formatStoredConfiguration(const StoredConfiguration &Stored) {
  json::object Value{{"document", writeConfigurationJson(Stored.Current)},
                     {"history", writeHistory(Stored.History)}};
  return json::serialize(Value);
}

std::string formatHistory(const std::vector<ConfigurationChange> &Changes) {
  return json::serialize(writeHistory(Changes));
}

std::vector<std::string> describeDifference(const Configuration &Before,
                                            const Configuration &After) {
  std::vector<std::string> Lines;
  describeItems(
      Before.Workspaces, After.Workspaces, "workspace",
      [&](const Workspace &, const Workspace &W) {
        Lines.push_back("workspace " + W.Name.str() + ": changed");
      },
      Lines);
  describeItems(
      Before.Entries, After.Entries, "entry",
      [&](const CatalogueEntry &Old, const CatalogueEntry &New) {
        describeEntry(Old, New, Lines);
      },
      Lines);
  describeServiceStates(Before.OutOfServiceFailureDomains,
                        After.OutOfServiceFailureDomains, "failure domain",
                        Lines);
  describeServiceStates(Before.OutOfServiceHosts, After.OutOfServiceHosts,
                        "host", Lines);
  return Lines;
}

bool isBehind(const StoredConfiguration &Stored, const Configuration &InForce) {
  std::uint64_t Revision = Stored.Current.Revision;
  if (Revision == 0 || Revision > InForce.Revision)
    return false;
  return Revision < InForce.Revision ||
         formatConfiguration(Stored.Current) != formatConfiguration(InForce);
}

Configuration newestOf(const StoredConfiguration &Stored,
                       const Configuration &InForce) {
  return isBehind(Stored, InForce) ? InForce : Stored.Current;
}

StoredConfiguration applyChange(const StoredConfiguration &Before,
                                Configuration Next,
                                ConfigurationChange Change) {
  StoredConfiguration After = Before;
  Next.Revision = std::max(Before.Current.Revision, Change.Revision) + 1;
  Change.Revision = Next.Revision;
  Change.Summary = describeDifference(Before.Current, Next);
  if (Change.Summary.size() > MaxSummaryLines) {
    std::size_t More = Change.Summary.size() - MaxSummaryLines;
    Change.Summary.resize(MaxSummaryLines);
    Change.Summary.push_back("and " + std::to_string(More) + " more");
  }
  After.Current = std::move(Next);
  After.History.push_back(std::move(Change));
  if (After.History.size() > MaxHistoryLength)
    After.History.erase(After.History.begin());
  return After;
}

Result<Configuration, DocumentErrors>
parseReplacement(std::string_view Json, const Configuration &Current) {
  auto Document = parseDocument(Json);
  if (!Document)
    return failure(std::move(Document.error()));
  auto Config = readConfigurationJson(*Document);
  if (Config && !Document->as_object().contains("out_of_service")) {
    Config->OutOfServiceFailureDomains = Current.OutOfServiceFailureDomains;
    Config->OutOfServiceHosts = Current.OutOfServiceHosts;
  }
  return Config;
}

Configuration OutOfServiceRequest::apply(Configuration Config) const {
  auto Change = [this](auto &Names, const auto &Name) {
    if (OutOfService)
      Names.insert(Name);
    else
      Names.erase(Name);
  };
  if (FailureDomain)
    Change(Config.OutOfServiceFailureDomains, *FailureDomain);
  if (Host)
    Change(Config.OutOfServiceHosts, *Host);
  return Config;
}

Result<OutOfServiceRequest, DocumentErrors>
parseOutOfServiceRequest(std::string_view Json) {
  auto Document = parseDocument(Json);
  if (!Document)
    return failure(std::move(Document.error()));
  static const auto Schema = DocumentSchema::create(OutOfServiceRequestSchema);
  DocumentErrors Errors = Schema->check(*Document);
  if (!Errors.empty())
    return failure(std::move(Errors));
  const json::object &Object = Document->as_object();
  OutOfServiceRequest Request;
  Request.OutOfService = Object.at("out").as_bool();
  if (const json::value *Name = Object.if_contains("failure_domain"))
    Request.FailureDomain = FailureDomainId(std::string(Name->as_string()));
  if (const json::value *Name = Object.if_contains("host"))
    Request.Host = HostId(std::string(Name->as_string()));
  if (Request.FailureDomain.has_value() == Request.Host.has_value())
    return failure(DocumentErrors{{"$", truncatedJson(*Document),
                                   "either \"failure_domain\" or \"host\""}});
  return Request;
}

} // namespace rosemarylane::core
