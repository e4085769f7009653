#ifndef ROSEMARYLANE_CORE_DOCUMENT_SCHEMA_H
#define ROSEMARYLANE_CORE_DOCUMENT_SCHEMA_H

#include "core/ConfigurationCodec.h"

#include <boost/json/fwd.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace rosemarylane::core {

/// A compiled JSON schema that reports every violation with its path, the value
/// found and the value expected.
///
/// The expected value is taken from the `description` of the violated
/// subschema, so every subschema should have one. Usually created once and kept
/// for the life of the process. Immutable after creation; can be shared between
/// threads.
class DocumentSchema {
public:
  /// Compiles a schema.
  /// @param Json the schema (JSON Schema draft 7); must be well-formed.
  static std::unique_ptr<DocumentSchema> create(std::string_view Json);
  ~DocumentSchema();

  /// Validates \p Document.
  /// @return all violations; empty if \p Document conforms to the schema.
  DocumentErrors check(const boost::json::value &Document) const;

private:
  struct State;
  explicit DocumentSchema(std::unique_ptr<State> S);
  std::unique_ptr<State> S;
};

/// Parses \p Json without validating it against a schema.
/// @return the value, or a syntax error with its byte offset.
Result<boost::json::value, DocumentErrors> parseDocument(std::string_view Json);

/// @return \p Value as JSON; if that is too long to read, its first bytes and
/// "...".
std::string truncatedJson(const boost::json::value &Value);

/// @return one line `path: found X, expected Y` for each of \p Errors.
std::string formatErrors(const DocumentErrors &Errors);

} // namespace rosemarylane::core

#endif // ROSEMARYLANE_CORE_DOCUMENT_SCHEMA_H
