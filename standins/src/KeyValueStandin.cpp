#include "KeyValueStandin.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <stdexcept>

namespace rosemarylane::standins {

namespace json = boost::json;

namespace {

/// A megabyte in base64.
constexpr std::size_t MaxEncodedValueBytes = (1 << 20) / 3 * 4 + 4;
constexpr std::size_t MaxHistory = 4096;

std::string text(const json::object &Object, std::string_view Name) {
  const json::value *Field = Object.if_contains(Name);
  return Field ? std::string(Field->as_string()) : std::string();
}

std::int64_t number(const json::object &Object, std::string_view Name) {
  const json::value *Field = Object.if_contains(Name);
  if (!Field)
    return 0;
  return Field->is_string() ? std::stoll(std::string(Field->as_string()))
                            : Field->to_number<std::int64_t>();
}

} // namespace

bool KeyValueStandin::handle(const Exchange &Call, const json::object &Body) {
  const std::string &Target = Call->request().Target;
  if (!Target.starts_with("/v3/"))
    return false;
  Bytes += Call->request().Body.size();
  json::object Answer;
  if (Target == "/v3/kv/range")
    ++Reads, Answer = range(Body);
  else if (Target == "/v3/kv/put")
    Answer = put(Body);
  else if (Target == "/v3/kv/txn")
    Answer = txn(Body);
  else if (Target == "/v3/kv/deleterange")
    Answer = erase(Body);
  else if (Target == "/v3/watch") {
    watch(Call, Body.at("create_request").as_object());
    return true;
  } else
    return false;
  std::string Json = json::serialize(Answer);
  Bytes += Json.size();
  Call->respond(http::jsonResponse(200, std::move(Json)));
  return true;
}

json::object KeyValueStandin::header() const {
  return {{"cluster_id", std::to_string(ClusterId)},
          {"revision", std::to_string(Revision)}};
}

json::object KeyValueStandin::toJson(const Record &Stored) {
  return {{"key", Stored.Key},
          {"value", Stored.Value},
          {"create_revision", std::to_string(Stored.CreateRevision)},
          {"mod_revision", std::to_string(Stored.ModRevision)},
          {"version", std::to_string(Stored.Version)}};
}

json::object KeyValueStandin::range(const json::object &Body) const {
  json::object Answer{{"header", header()}};
  auto Found = Records.find(text(Body, "key"));
  if (Found == Records.end())
    return Answer;
  Answer["kvs"] = json::array{toJson(Found->second)};
  Answer["count"] = "1";
  return Answer;
}

json::object KeyValueStandin::put(const json::object &Body) {
  std::string Value = text(Body, "value");
  if (Value.size() > MaxEncodedValueBytes)
    throw std::invalid_argument("value over a megabyte");
  ++Writes;
  Record &Stored = Records[text(Body, "key")];
  Stored.Key = text(Body, "key");
  Stored.Value = std::move(Value);
  Stored.ModRevision = ++Revision;
  if (Stored.Version++ == 0)
    Stored.CreateRevision = Revision;
  History.push_back(Stored);
  if (History.size() > MaxHistory)
    History.erase(History.begin(), History.begin() + MaxHistory / 2);
  for (auto Watch = Watchers.begin(); Watch != Watchers.end();) {
    auto Present = Watch++;
    if (Present->Key == Stored.Key)
      send(*Present, {&Stored});
  }
  return {{"header", header()}};
}

/// Watches are not told: the system watches no key that it erases.
json::object KeyValueStandin::erase(const json::object &Body) {
  ++Writes;
  ++Revision;
  json::object Answer{{"header", header()}};
  if (Records.erase(text(Body, "key")) > 0)
    Answer["deleted"] = "1";
  return Answer;
}

bool KeyValueStandin::holds(const json::object &Compare) const {
  auto Found = Records.find(text(Compare, "key"));
  bool Exists = Found != Records.end();
  if (text(Compare, "target") == "MOD")
    return (Exists ? Found->second.ModRevision : 0) ==
           number(Compare, "mod_revision");
  if (text(Compare, "target") == "VALUE")
    return Exists && Found->second.Value == text(Compare, "value");
  throw std::invalid_argument("compare target not supported");
}

json::object KeyValueStandin::txn(const json::object &Body) {
  bool Holds = true;
  for (const json::value &Item : Body.at("compare").as_array())
    Holds = Holds && holds(Item.as_object());
  json::array Responses;
  const json::value *Requests = Body.if_contains(Holds ? "success" : "failure");
  if (Requests)
    for (const json::value &Item : Requests->as_array()) {
      const json::object &Request = Item.as_object();
      if (const json::value *Put = Request.if_contains("request_put"))
        Responses.push_back(
            json::object{{"response_put", put(Put->as_object())}});
      else
        Responses.push_back(
            json::object{{"response_range",
                          range(Request.at("request_range").as_object())}});
    }
  if (!Holds)
    ++Reads;
  json::object Answer{{"header", header()}, {"responses", Responses}};
  // The gateway leaves out what is false.
  if (Holds)
    Answer["succeeded"] = true;
  return Answer;
}

void KeyValueStandin::watch(const Exchange &Call, const json::object &Body) {
  ++WatchesOpened;
  Watchers.push_back({text(Body, "key"), Call});
  auto Added = std::prev(Watchers.end());
  Call->onGone([this, Raw = Call.get()] {
    Watchers.remove_if(
        [Raw](const Watcher &Watch) { return Watch.Call.get() == Raw; });
  });
  Call->startStream({200, {{"Content-Type", "application/json"}}});
  json::object Created{{"header", header()}, {"created", true}};
  Call->write(json::serialize(json::object{{"result", Created}}) + "\n");
  std::vector<const Record *> Missed;
  std::int64_t From = number(Body, "start_revision");
  for (const Record &Change : History)
    if (From > 0 && Change.Key == Added->Key && Change.ModRevision >= From)
      Missed.push_back(&Change);
  if (!Missed.empty())
    send(*Added, Missed);
}

void KeyValueStandin::send(Watcher &To,
                           const std::vector<const Record *> &Changes) {
  json::object Result{{"header", header()}};
  json::array Events;
  for (const Record *Change : Changes)
    Events.push_back(json::object{{"kv", toJson(*Change)}});
  if (!Events.empty())
    Result["events"] = std::move(Events);
  std::string Line =
      json::serialize(json::object{{"result", std::move(Result)}}) + "\n";
  Bytes += Line.size();
  To.Call->write(std::move(Line));
}

void KeyValueStandin::notifyProgress() {
  for (auto Watch = Watchers.begin(); Watch != Watchers.end();)
    send(*Watch++, {});
}

void KeyValueStandin::dropWatches() {
  for (Watcher &Watch : std::exchange(Watchers, {}))
    Watch.Call->abort();
}

void KeyValueStandin::copy() {
  CopiedRecords = Records;
  CopiedRevision = Revision;
}

void KeyValueStandin::restore() {
  Records = CopiedRecords;
  Revision = CopiedRevision;
  ++ClusterId;
  // A restored service has no changes from before.
  History.clear();
  dropWatches();
}

json::object KeyValueStandin::counters() const {
  return {{"reads", Reads},
          {"writes", Writes},
          {"watches", Watchers.size()},
          {"watches_opened", WatchesOpened},
          {"bytes", Bytes}};
}

} // namespace rosemarylane::standins
