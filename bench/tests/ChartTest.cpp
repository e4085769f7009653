#include "bench/Chart.h"

#include <boost/test/unit_test.hpp>

using namespace rosemarylane::bench;

BOOST_AUTO_TEST_SUITE(ChartTest)

BOOST_AUTO_TEST_CASE(names_are_escaped_and_every_curve_is_drawn) {
  Chart Drawn;
  Drawn.Title = "a < b & c";
  Drawn.Curves = {{"one", {{0, 1}, {1, 2}}}, {"two", {{0, 0}}}};
  std::string Svg = formatSvg(Drawn);
  BOOST_TEST(Svg.find("a &lt; b &amp; c") != std::string::npos);
  std::size_t Lines = 0;
  for (std::size_t At = Svg.find("<polyline"); At != std::string::npos;
       At = Svg.find("<polyline", At + 1))
    ++Lines;
  BOOST_TEST(Lines == 2U);
}

BOOST_AUTO_TEST_CASE(an_empty_chart_can_be_drawn) {
  BOOST_TEST(formatSvg(Chart()).ends_with("</svg>\n"));
}

BOOST_AUTO_TEST_SUITE_END()
