#include "core/DocumentSchema.h"

#include <algorithm>
#include <boost/json.hpp>
#include <valijson/adapters/boost_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace rosemarylane::core {

namespace json = boost::json;

struct DocumentSchema::State {
  json::value Source;
  valijson::Schema Compiled;
};

namespace {

/// Maximum length of a value's JSON text in error messages and change
/// summaries, in bytes. Longer texts are truncated.
constexpr std::size_t MaxValueTextBytes = 80;

/// Name that the validator gives to the document's root.
constexpr std::string_view RootContext = "<root>";
/// Prefixes of the messages that the validator adds for the parents of an
/// invalid value. They are skipped because the value's own error is more
/// specific.
constexpr std::string_view WrapperMessagePrefixes[] = {
    "Failed to validate against schema associated with property name",
    "Failed to validate item #",
};
constexpr std::string_view MissingPropertyPrefix =
    "Missing required property '";
constexpr std::string_view UnknownPropertyPrefix = "Object contains a property";

bool isWrapperMessage(std::string_view Message) {
  for (std::string_view Start : WrapperMessagePrefixes)
    if (Message.starts_with(Start))
      return true;
  return false;
}

/// @return the last name in single quotes, or an empty string.
std::string_view quotedName(std::string_view Message) {
  std::size_t End = Message.rfind('\'');
  std::size_t Start = Message.rfind('\'', End - 1);
  if (End == std::string_view::npos || Start == std::string_view::npos)
    return {};
  return Message.substr(Start + 1, End - Start - 1);
}

/// Walks a document and its schema in parallel, along the context path that the
/// validator reports.
class DocumentCursor {
public:
  DocumentCursor(const json::value &Document, const json::value &Schema)
      : Value(&Document), Schema(&Schema) {}

  void descend(std::string_view Step) {
    if (Step.size() > 1 && Step.front() == '[')
      Step = Step.substr(1, Step.size() - 2);
    if (Value && Value->is_array())
      descendToItem(Step);
    else
      descendToProperty(Step);
  }

  std::string path() const { return Path; }
  const json::value *value() const { return Value; }

  std::string expected() const {
    const json::value *Text = member(Schema, "description");
    return Text && Text->is_string() ? std::string(Text->as_string())
                                     : "a valid value";
  }

  /// @return an error for each key of the current object that the schema does
  /// not define.
  DocumentErrors unknownKeys() const {
    const json::object &Known = member(Schema, "properties")->as_object();
    std::string Names;
    for (const auto &Property : Known)
      Names += (Names.empty() ? "" : ", ") + std::string(Property.key());
    DocumentErrors Errors;
    for (const auto &Property : Value->as_object())
      if (!Known.contains(Property.key()))
        Errors.push_back({Path + "." + std::string(Property.key()),
                          truncatedJson(Property.value()),
                          "no such key; known keys: " + Names});
    return Errors;
  }

private:
  static const json::value *member(const json::value *Object,
                                   std::string_view Name) {
    if (!Object || !Object->is_object())
      return nullptr;
    return Object->as_object().if_contains(Name);
  }

  void descendToItem(std::string_view Index) {
    Path += "[" + std::string(Index) + "]";
    Value = Value->as_array().if_contains(std::stoul(std::string(Index)));
    Schema = member(Schema, "items");
  }

  void descendToProperty(std::string_view Name) {
    Path += "." + std::string(Name);
    Value = member(Value, Name);
    Schema = member(member(Schema, "properties"), Name);
  }

  std::string Path = "$";
  const json::value *Value;
  const json::value *Schema;
};

} // namespace

DocumentSchema::DocumentSchema(std::unique_ptr<State> S) : S(std::move(S)) {}
DocumentSchema::~DocumentSchema() = default;

std::unique_ptr<DocumentSchema> DocumentSchema::create(std::string_view Json) {
  auto S = std::make_unique<State>();
  S->Source = json::parse(json::string_view(Json.data(), Json.size()));
  valijson::adapters::BoostJsonAdapter Adapter(S->Source);
  valijson::SchemaParser Parser;
  Parser.populateSchema(Adapter, S->Compiled);
  return std::unique_ptr<DocumentSchema>(new DocumentSchema(std::move(S)));
}

DocumentErrors DocumentSchema::check(const json::value &Document) const {
  valijson::Validator Validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults Results;
  valijson::adapters::BoostJsonAdapter Adapter(Document);
  Validator.validate(S->Compiled, Adapter, &Results);

  DocumentErrors Errors;
  for (const auto &Violation : Results) {
    std::string_view Message = Violation.description;
    if (isWrapperMessage(Message))
      continue;
    DocumentCursor Cursor(Document, S->Source);
    for (const std::string &Step : Violation.context)
      if (Step != RootContext)
        Cursor.descend(Step);
    if (Message.starts_with(UnknownPropertyPrefix)) {
      for (DocumentError &Error : Cursor.unknownKeys())
        Errors.push_back(std::move(Error));
      continue;
    }
    if (Message.starts_with(MissingPropertyPrefix))
      Cursor.descend(quotedName(Message));
    DocumentError Error{Cursor.path(),
                        Cursor.value() ? truncatedJson(*Cursor.value())
                                       : "nothing",
                        Cursor.expected()};
    if (std::find(Errors.begin(), Errors.end(), Error) == Errors.end())
      Errors.push_back(std::move(Error));
  }
  return Errors;
}

Result<json::value, DocumentErrors> parseDocument(std::string_view Json) {
  json::error_code ParseError;
  json::stream_parser Parser;
  std::size_t Read = Parser.write_some(Json.data(), Json.size(), ParseError);
  if (!ParseError && Read < Json.size())
    Parser.write(Json.data() + Read, Json.size() - Read, ParseError);
  if (!ParseError)
    Parser.finish(ParseError);
  if (!ParseError)
    return Parser.release();
  std::string Near(Json.substr(Read, 20));
  return failure(DocumentErrors{
      {"$", "byte " + std::to_string(Read) + ": " + Near, "a JSON document"}});
}

std::string truncatedJson(const json::value &Value) {
  std::string Text = json::serialize(Value);
  if (Text.size() > MaxValueTextBytes)
    Text = Text.substr(0, MaxValueTextBytes) + "...";
  return Text;
}

std::string formatErrors(const DocumentErrors &Errors) {
  std::string Text;
  for (const DocumentError &E : Errors)
    Text += E.Path + ": found " + E.Found + ", expected " + E.Expected + "\n";
  return Text;
}

} // namespace rosemarylane::core
