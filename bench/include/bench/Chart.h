#ifndef ROSEMARYLANE_BENCH_CHART_H
#define ROSEMARYLANE_BENCH_CHART_H

#include "bench/Samples.h"

#include <string>
#include <vector>

namespace rosemarylane::bench {

/// One curve of a chart.
struct Series {
  std::string Name;
  std::vector<Point> Points;
};

/// A stretch of the horizontal axis with a label, such as the time of a fault.
struct Span {
  std::string Name;
  double From = 0;
  double To = 0;
};

/// A chart of curves over one horizontal axis. A plain value type.
struct Chart {
  std::string Title;
  std::string XLabel;
  std::string YLabel;
  std::vector<Series> Curves;
  std::vector<Span> Spans;
};

/// @return the chart as an SVG document.
std::string formatSvg(const Chart &Drawn);

} // namespace rosemarylane::bench

#endif // ROSEMARYLANE_BENCH_CHART_H
