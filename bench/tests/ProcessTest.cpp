#include "bench/Process.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace rosemarylane::bench;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(ProcessTest)

BOOST_AUTO_TEST_CASE(tells_the_exit_code) {
  auto Child = Process::start({"/bin/sh", "-c", "exit 3"}, "/dev/null");
  BOOST_REQUIRE(Child.has_value());
  BOOST_TEST((*Child)->waitForExit(seconds(5)).value_or(-1) == 3);
  BOOST_TEST(!(*Child)->running());
}

BOOST_AUTO_TEST_CASE(a_signal_shows_in_the_exit_code) {
  auto Child = Process::start({"/bin/sleep", "60"}, "/dev/null");
  BOOST_REQUIRE(Child.has_value());
  BOOST_TEST(!(*Child)->waitForExit(milliseconds(20)).has_value());
  BOOST_TEST((*Child)->usage().ResidentBytes > 0U);
  (*Child)->signal(SIGTERM);
  BOOST_TEST((*Child)->waitForExit(seconds(5)).value_or(-1) == 128 + SIGTERM);
}

BOOST_AUTO_TEST_CASE(a_missing_program_ends_with_an_error) {
  auto Child = Process::start({"/nonexistent/program"}, "/dev/null");
  BOOST_REQUIRE(Child.has_value());
  BOOST_TEST((*Child)->waitForExit(seconds(5)).value_or(0) == 127);
}

BOOST_AUTO_TEST_SUITE_END()
