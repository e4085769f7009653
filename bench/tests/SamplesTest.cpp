#include "bench/Samples.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace rosemarylane::bench;
using std::chrono::nanoseconds;

BOOST_AUTO_TEST_SUITE(SamplesTest)

BOOST_AUTO_TEST_CASE(no_samples_give_zero) {
  BOOST_TEST(Samples().quantile(0.5).count() == 0);
}

BOOST_AUTO_TEST_CASE(a_quantile_is_the_first_that_enough_do_not_exceed) {
  BOOST_TEST(rc::check([](const std::vector<unsigned short> &Values) {
    RC_PRE(!Values.empty());
    double Fraction = *rc::gen::inRange(0, 1001) / 1000.0;
    Samples Collected;
    for (unsigned short Value : Values)
      Collected.add(nanoseconds(Value));
    long Found = Collected.quantile(Fraction).count();
    auto NotAbove = [&](long Limit) {
      return double(std::count_if(Values.begin(), Values.end(),
                                  [&](long V) { return V <= Limit; }));
    };
    RC_ASSERT(std::find(Values.begin(), Values.end(), Found) != Values.end());
    RC_ASSERT(NotAbove(Found) >= Fraction * double(Values.size()));
    RC_ASSERT(NotAbove(Found - 1) <=
              std::max(1.0, Fraction * double(Values.size())));
  }));
}

BOOST_AUTO_TEST_CASE(a_line_through_points_on_a_line_is_that_line) {
  Line Fitted = fitLine({{1, 5}, {2, 7}, {4, 11}});
  BOOST_TEST(Fitted.Slope == 2, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(Fitted.Intercept == 3, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(points_above_each_other_have_no_slope) {
  BOOST_TEST(fitLine({{1, 1}, {1, 3}}).Slope == 0);
}

BOOST_AUTO_TEST_SUITE_END()
