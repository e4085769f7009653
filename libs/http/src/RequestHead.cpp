#include "http/RequestHead.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <string_view>

namespace rosemarylane::http {

namespace beast = boost::beast;
using Field = beast::http::field;

namespace {

constexpr unsigned HttpVersion11 = 11;

std::string_view value(const beast::http::fields &Fields, Field Name) {
  auto Value = Fields[Name];
  return {Value.data(), Value.size()};
}

bool isDigits(std::string_view Text) {
  return Text.find_first_not_of("0123456789") == std::string_view::npos;
}

/// @return whether \p Text is a host, maybe with a port, and nothing else.
bool isAuthority(std::string_view Text) {
  std::size_t PortStart = 0;
  if (Text.starts_with('[')) {
    PortStart = Text.find(']');
    if (PortStart == std::string_view::npos)
      return false;
    ++PortStart;
  } else {
    PortStart = std::min(Text.find(':'), Text.size());
  }
  std::string_view Port = Text.substr(PortStart);
  std::string_view Host = Text.substr(0, PortStart);
  if (!Port.empty() && (Port.front() != ':' || !isDigits(Port.substr(1))))
    return false;
  return Host.find_first_of(" \t,/\\?#@\"<>") == std::string_view::npos;
}

bool hasClearAddress(const beast::http::fields &Fields, unsigned Version) {
  std::size_t Hosts = Fields.count(Field::host);
  if (Hosts == 0)
    return Version < HttpVersion11;
  return Hosts == 1 && isAuthority(value(Fields, Field::host));
}

bool hasClearLength(const beast::http::fields &Fields, unsigned Version) {
  std::size_t Lengths = Fields.count(Field::content_length);
  std::size_t Codings = Fields.count(Field::transfer_encoding);
  if (Codings == 0)
    return Lengths == 0 ||
           (Lengths == 1 && isDigits(value(Fields, Field::content_length)));
  return Codings == 1 && Lengths == 0 && Version == HttpVersion11 &&
         beast::iequals(value(Fields, Field::transfer_encoding), "chunked");
}

} // namespace

bool hasClearHead(const beast::http::fields &Fields, unsigned Version) {
  return hasClearAddress(Fields, Version) && hasClearLength(Fields, Version);
}

} // namespace rosemarylane::http
