#include "ctl/Progress.h"

#include <boost/json.hpp>

namespace rosemarylane {

namespace json = boost::json;

namespace {

std::string text(const json::object &Object, std::string_view Key) {
  const json::value *Value = Object.if_contains(Key);
  return Value && Value->is_string() ? std::string(Value->as_string())
                                     : std::string();
}

std::uint64_t number(const json::object &Object, std::string_view Key) {
  const json::value *Value = Object.if_contains(Key);
  return Value && Value->is_number() ? Value->to_number<std::uint64_t>() : 0;
}

bool flag(const json::object &Object, std::string_view Key) {
  const json::value *Value = Object.if_contains(Key);
  return Value && Value->is_bool() && Value->as_bool();
}

void count(const json::object &Member, const json::object &Held,
           RolloutProgress &Progress) {
  if (text(Held, "fetching") == Progress.Version)
    ++Progress.Fetching;
  std::string Error = text(Held, "load_error");
  if (!Error.empty())
    Progress.LoadErrors.push_back(text(Member, "host") + ": " + Error);
  if (!flag(Held, "serving"))
    return;
  if (text(Held, "version") == Progress.Version)
    ++Progress.Serving;
  else
    ++Progress.Older;
}

} // namespace

std::vector<RolloutProgress> rolloutProgress(const json::value &Catalogue,
                                             const json::value &Status) {
  std::vector<RolloutProgress> All;
  for (const json::value &Value : Catalogue.at("entries").as_array()) {
    const json::object &Entry = Value.as_object();
    if (text(Entry, "kind") == "service")
      continue;
    RolloutProgress Progress;
    Progress.Entry = text(Entry, "name");
    Progress.Version = text(Entry, "version");
    Progress.Wanted = number(Entry, "replicas");
    for (const json::value &Member : Status.at("members").as_array())
      for (const json::value &Held :
           Member.as_object().at("holdings").as_array())
        if (text(Held.as_object(), "entry") == Progress.Entry &&
            flag(Member.as_object(), "alive"))
          count(Member.as_object(), Held.as_object(), Progress);
    All.push_back(std::move(Progress));
  }
  return All;
}

DrainProgress drainProgress(const json::value &Status, const std::string &Kind,
                            const std::string &Name, std::uint64_t Revision) {
  DrainProgress Progress;
  for (const json::value &Value : Status.at("members").as_array()) {
    const json::object &Member = Value.as_object();
    if (text(Member, Kind) != Name || text(Member, "role") != "agent" ||
        !flag(Member, "alive"))
      continue;
    ++Progress.Agents;
    if (number(Member, "revision") < Revision)
      ++Progress.Behind;
    Progress.InProgress += number(Member, "in_progress");
  }
  return Progress;
}

} // namespace rosemarylane
