#include "http/Url.h"

#include <algorithm>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace rosemarylane::http {

namespace urls = boost::urls;

namespace {

bool isControl(char C) {
  constexpr char Delete = 0x7f;
  return (C >= 0 && C < ' ') || C == Delete;
}

} // namespace

std::string encodeSegment(std::string_view Text) {
  return urls::encode({Text.data(), Text.size()}, urls::unreserved_chars);
}

std::string encodeQueryValue(std::string_view Text) {
  constexpr auto Kept = urls::unreserved_chars + '/';
  return urls::encode({Text.data(), Text.size()}, Kept);
}

bool isFieldValue(std::string_view Text) {
  return !Text.empty() && !Text.starts_with(' ') && !Text.ends_with(' ') &&
         std::none_of(Text.begin(), Text.end(), isControl);
}

} // namespace rosemarylane::http
