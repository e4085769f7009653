#include "http/Url.h"

#include <boost/test/unit_test.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <rapidcheck.h>

using namespace rosemarylane::http;

BOOST_AUTO_TEST_SUITE(url)

// A key with a space ended the reading of the registry, one with an ampersand
// began it again and again.
BOOST_AUTO_TEST_CASE(any_text_comes_back_from_a_request_target) {
  BOOST_TEST(encodeQueryValue("servers/i-7f3a") == "servers/i-7f3a");
  BOOST_TEST(encodeQueryValue("a b&c%25+d") == "a%20b%26c%2525%2Bd");
  BOOST_TEST(encodeSegment("a/b") == "a%2Fb");
  BOOST_TEST(rc::check([](const std::string &Text) {
    std::string Target = "/" + encodeSegment(Text) +
                         "?after=" + encodeQueryValue(Text) + "&more=1";
    auto Parsed = boost::urls::parse_origin_form(Target);
    RC_ASSERT(Parsed.has_value());
    RC_ASSERT(Parsed->params().size() == 2U);
    RC_ASSERT((*Parsed->params().begin()).value == Text);
    RC_ASSERT(Parsed->encoded_path() == "/" + encodeSegment(Text));
    if (!Text.empty())
      RC_ASSERT(Parsed->segments().front() == Text);
  }));
}

// A key with a line end in it would have added header fields to requests.
BOOST_AUTO_TEST_CASE(field_values_have_no_control_characters) {
  BOOST_TEST(isFieldValue("i-7f3a 2"));
  BOOST_TEST(isFieldValue("caf\xc3\xa9"));
  for (const char *Odd : {"", "a\r\nHost: b", "a\tb", "\x7f", " a", "a "})
    BOOST_TEST(!isFieldValue(Odd));
}

BOOST_AUTO_TEST_SUITE_END()
