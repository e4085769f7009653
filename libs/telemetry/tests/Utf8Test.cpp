#include "telemetry/Utf8.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using rosemarylane::telemetry::asUtf8;

BOOST_AUTO_TEST_SUITE(utf8)

// An id or key with other bytes made its log line unreadable.
BOOST_AUTO_TEST_CASE(any_text_can_stand_in_a_log_line) {
  BOOST_TEST(asUtf8("caf\xc3\xa9 \xf0\x9f\x98\x80") ==
             "caf\xc3\xa9 \xf0\x9f\x98\x80");
  BOOST_TEST(asUtf8("a\xff\xc3") == "a\xef\xbf\xbd\xef\xbf\xbd");
  BOOST_TEST(rc::check([](const std::string &Text) {
    std::string Line =
        boost::json::serialize(boost::json::string(asUtf8(Text)));
    boost::json::error_code Failed;
    (void)boost::json::parse(Line, Failed);
    RC_ASSERT(!Failed);
    RC_ASSERT(asUtf8(asUtf8(Text)) == asUtf8(Text));
  }));
}

BOOST_AUTO_TEST_SUITE_END()
