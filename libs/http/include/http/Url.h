#ifndef ROSEMARYLANE_HTTP_URL_H
#define ROSEMARYLANE_HTTP_URL_H

#include <string>
#include <string_view>

namespace rosemarylane::http {

/// Encodes any text as one segment of the path of a request target.
std::string encodeSegment(std::string_view Text);

/// Encodes any text as a value in the query of a request target. Slashes, which
/// have no meaning there, stay.
std::string encodeQueryValue(std::string_view Text);

/// @return whether \p Text can be the value of a header field: it is not empty,
/// has no control characters, and neither begins nor ends with a space, which
/// the receiver would drop.
bool isFieldValue(std::string_view Text);

} // namespace rosemarylane::http

#endif // ROSEMARYLANE_HTTP_URL_H
