#ifndef ROSEMARYLANE_CORE_DOCUMENT_SCHEMA_H
#define ROSEMARYLANE_CORE_DOCUMENT_SCHEMA_H

#include "core/ConfigurationCodec.h"

#include <boost/json/fwd.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace rosemarylane::core {

/// A JSON schema that reports every violation with its path, the value found
/// and what is expected.
///
/// What is expected comes from the `description` of the subschema that was
/// violated, so every subschema should have one. Immutable once created; may be
/// shared between threads.
class DocumentSchema {
public:
  /// @param Json the schema (draft 7); must be well formed.
  static std::unique_ptr<DocumentSchema> create(std::string_view Json);
  ~DocumentSchema();

  /// @return all violations; empty if \p Document conforms.
  DocumentErrors check(const boost::json::value &Document) const;

private:
  struct State;
  explicit DocumentSchema(std::unique_ptr<State> S);
  std::unique_ptr<State> S;
};

/// Parses \p Json; a syntax error is reported with its position.
Result<boost::json::value, DocumentErrors> parseDocument(std::string_view Json);

/// @return \p Value as JSON, cut to a readable length.
std::string truncatedJson(const boost::json::value &Value);

/// @return \p Errors as `path: found X, expected Y`, one line each.
std::string formatErrors(const DocumentErrors &Errors);

} // namespace rosemarylane::core

#endif // ROSEMARYLANE_CORE_DOCUMENT_SCHEMA_H
