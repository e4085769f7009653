#include "http/RetryAfter.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using rosemarylane::http::readRetryAfter;

BOOST_AUTO_TEST_SUITE(retry_after)

BOOST_AUTO_TEST_CASE(time_in_seconds_is_never_shortened) {
  BOOST_TEST((readRetryAfter("2") == 2000ms));
  BOOST_TEST((readRetryAfter("0.25") == 250ms));
  BOOST_TEST((readRetryAfter("1.0001") == 1001ms));
  BOOST_TEST((readRetryAfter("0") == 0ms));
}

BOOST_AUTO_TEST_CASE(time_without_bounds_can_be_added_to_a_point_in_time) {
  BOOST_TEST((readRetryAfter("1e300") == std::chrono::years(100)));
}

BOOST_AUTO_TEST_CASE(anything_else_is_no_time) {
  for (const char *Wrong : {"", "-1", "soon", "nan", "inf", "-inf", "2 s",
                            "Sat, 05 Dec 2026 00:00:00 GMT", "1e999"})
    BOOST_TEST(!readRetryAfter(Wrong).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
