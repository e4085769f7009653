#include "bench/Samples.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace rosemarylane::bench {

void Samples::add(std::chrono::nanoseconds Value) {
  Values.push_back(Value);
  Sorted = false;
}

std::chrono::nanoseconds Samples::quantile(double Fraction) const {
  assert(Fraction >= 0 && Fraction <= 1);
  if (Values.empty())
    return std::chrono::nanoseconds(0);
  if (!Sorted)
    std::sort(Values.begin(), Values.end());
  Sorted = true;
  auto Rank = std::size_t(std::ceil(Fraction * double(Values.size())));
  return Values[Rank == 0 ? 0 : Rank - 1];
}

Line fitLine(const std::vector<Point> &Points) {
  if (Points.empty())
    return {};
  double MeanX = 0;
  double MeanY = 0;
  for (const Point &P : Points) {
    MeanX += P.X / double(Points.size());
    MeanY += P.Y / double(Points.size());
  }
  double Covariance = 0;
  double Variance = 0;
  for (const Point &P : Points) {
    Covariance += (P.X - MeanX) * (P.Y - MeanY);
    Variance += (P.X - MeanX) * (P.X - MeanX);
  }
  double Slope = Variance > 0 ? Covariance / Variance : 0;
  return {MeanY - Slope * MeanX, Slope};
}

} // namespace rosemarylane::bench
