#ifndef ROSEMARYLANE_BENCH_SAMPLES_H
#define ROSEMARYLANE_BENCH_SAMPLES_H

#include <chrono>
#include <cstddef>
#include <vector>

namespace rosemarylane::bench {

/// Latencies, kept whole so that quantiles are exact. A plain value type.
class Samples {
public:
  void add(std::chrono::nanoseconds Value);

  /// @param Fraction between 0 and 1.
  /// @return the smallest sample that at least this fraction does not exceed;
  /// zero if there are none.
  std::chrono::nanoseconds quantile(double Fraction) const;

  std::size_t count() const { return Values.size(); }

private:
  mutable std::vector<std::chrono::nanoseconds> Values;
  mutable bool Sorted = true;
};

/// A point that a slope is fitted to.
struct Point {
  double X = 0;
  double Y = 0;
};

/// A straight line through points.
struct Line {
  double Intercept = 0;
  double Slope = 0;
};

/// Fits by least squares; the slope is zero when all `X` are equal.
Line fitLine(const std::vector<Point> &Points);

} // namespace rosemarylane::bench

#endif // ROSEMARYLANE_BENCH_SAMPLES_H
