#include "EtcdJson.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <openssl/evp.h>
#include <stdexcept>

namespace rosemarylane::store::etcd_json {

namespace json = boost::json;

namespace {

std::string toBase64(std::string_view Bytes) {
  // Room for the terminating zero that the encoder writes.
  std::string Text((Bytes.size() + 2) / 3 * 4 + 1, '\0');
  int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Length));
  return Text;
}

std::string fromBase64(std::string_view Text) {
  if (Text.size() % 4 != 0)
    throw std::invalid_argument("base64 of a wrong length");
  std::string Bytes(Text.size() / 4 * 3, '\0');
  int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Length < 0)
    throw std::invalid_argument("not base64");
  std::size_t Padding = Text.ends_with("==") ? 2 : Text.ends_with("=") ? 1 : 0;
  Bytes.resize(static_cast<std::size_t>(Length) - Padding);
  return Bytes;
}

/// The gateway writes 64-bit numbers as strings and leaves zeros out.
std::int64_t number(const json::object &Object, std::string_view Name) {
  const json::value *Field = Object.if_contains(Name);
  if (!Field)
    return 0;
  if (Field->is_string())
    return std::stoll(std::string(Field->as_string()));
  return Field->to_number<std::int64_t>();
}

/// @return the cluster id in the header of an answer, 0 if it has none.
std::uint64_t historyOf(const json::object &Answer) {
  const json::value *Header = Answer.if_contains("header");
  if (!Header)
    return 0;
  const json::value *Id = Header->as_object().if_contains("cluster_id");
  if (!Id)
    return 0;
  if (Id->is_string())
    return std::stoull(std::string(Id->as_string()));
  return Id->to_number<std::uint64_t>();
}

bool flag(const json::object &Object, std::string_view Name) {
  const json::value *Field = Object.if_contains(Name);
  return Field && Field->as_bool();
}

StoredValue storedValue(const json::object &KeyValue) {
  StoredValue Stored;
  if (const json::value *Value = KeyValue.if_contains("value"))
    Stored.Value = fromBase64(Value->as_string());
  Stored.Revision = number(KeyValue, "mod_revision");
  return Stored;
}

StoredValue firstOf(const json::object &Range) {
  const json::value *Found = Range.if_contains("kvs");
  if (!Found || Found->as_array().empty())
    return {};
  return storedValue(Found->as_array().front().as_object());
}

const json::object &rangeAt(const json::array &Responses, std::size_t Index) {
  return Responses.at(Index).as_object().at("response_range").as_object();
}

} // namespace

std::string rangeRequest(const std::string &Key) {
  return json::serialize(json::object{{"key", toBase64(Key)}});
}

std::string swapRequest(const std::string &Key, const SwapCondition &Condition,
                        const std::string &Value) {
  std::string EncodedKey = toBase64(Key);
  json::array Compares{json::object{
      {"key", EncodedKey},
      {"target", "MOD"},
      {"result", "EQUAL"},
      {"mod_revision", std::to_string(Condition.Expected.Revision)}}};
  json::object Put{
      {"request_put", {{"key", EncodedKey}, {"value", toBase64(Value)}}}};
  json::array Ranges{json::object{{"request_range", {{"key", EncodedKey}}}}};
  if (!Condition.GuardKey.empty()) {
    std::string Guard = toBase64(Condition.GuardKey);
    Compares.push_back(json::object{{"key", Guard},
                                    {"target", "VALUE"},
                                    {"result", "EQUAL"},
                                    {"value", toBase64(Condition.GuardValue)}});
    Ranges.push_back(json::object{{"request_range", {{"key", Guard}}}});
  }
  return json::serialize(json::object{{"compare", std::move(Compares)},
                                      {"success", json::array{Put}},
                                      {"failure", std::move(Ranges)}});
}

std::string watchRequest(const std::string &Key, std::int64_t FromRevision) {
  json::object Create{{"key", toBase64(Key)},
                      {"start_revision", std::to_string(FromRevision)},
                      {"progress_notify", true}};
  return json::serialize(json::object{{"create_request", Create}});
}

StoredValue parseRange(std::string_view Body) {
  json::value Parsed = json::parse(Body);
  const json::object &Answer = Parsed.as_object();
  StoredValue Found = firstOf(Answer);
  Found.History = historyOf(Answer);
  return Found;
}

SwapOutcome parseSwap(std::string_view Body, const SwapCondition &Condition,
                      const std::string &Written) {
  json::value Parsed = json::parse(Body);
  const json::object &Answer = Parsed.as_object();
  SwapOutcome Outcome;
  Outcome.Swapped = flag(Answer, "succeeded");
  if (Outcome.Swapped) {
    Outcome.Current = {Written,
                       number(Answer.at("header").as_object(), "revision"),
                       historyOf(Answer)};
    return Outcome;
  }
  const json::array &Ranges = Answer.at("responses").as_array();
  Outcome.Current = firstOf(rangeAt(Ranges, 0));
  Outcome.Current.History = historyOf(Answer);
  Outcome.GuardHeld = Condition.GuardKey.empty() ||
                      firstOf(rangeAt(Ranges, 1)).Value == Condition.GuardValue;
  return Outcome;
}

bool parseErase(std::string_view Body) {
  return number(json::parse(Body).as_object(), "deleted") > 0;
}

WatchMessage parseWatch(std::string_view Line) {
  json::value Parsed = json::parse(Line);
  WatchMessage Message;
  if (const json::value *Error = Parsed.as_object().if_contains("error")) {
    Message.Cancelled = true;
    Message.Reason = json::serialize(*Error);
    return Message;
  }
  const json::object &Result = Parsed.as_object().at("result").as_object();
  Message.History = historyOf(Result);
  Message.Cancelled = flag(Result, "canceled");
  if (Message.Cancelled)
    Message.Reason = "cancelled by the service";
  if (const json::value *Events = Result.if_contains("events"))
    for (const json::value &Event : Events->as_array()) {
      Message.Changes.push_back(
          storedValue(Event.as_object().at("kv").as_object()));
      Message.Changes.back().History = Message.History;
    }
  return Message;
}

} // namespace rosemarylane::store::etcd_json
