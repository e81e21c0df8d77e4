#pragma once

#include <algorithm>
#include <cmath>
#include <span>

namespace gooseberrysail::bench {

/// \brief A cost `y` measured at a size `x`.
struct FitPoint
{
  double x = 0;
  double y = 0;
};

/// \brief A linear cost model: the cost per unit of size and the constant part.
struct LinearFit
{
  double slope = 0;
  double offset = 0;

  [[nodiscard]] double At(double x) const noexcept { return offset + slope * x; }
  [[nodiscard]] double Residual(const FitPoint& point) const noexcept
  {
    return std::abs(point.y - At(point.x));
  }
};

/// \brief Fits a line by least squares to points of at least two sizes.
/// \remarks Subtracts the means first, since sums of raw squares lose precision at large sizes.
[[nodiscard]] inline LinearFit FitLine(std::span<const FitPoint> points)
{
  const auto count = static_cast<double>(points.size());
  double meanX = 0;
  double meanY = 0;
  for (const FitPoint& point : points) {
    meanX += point.x / count;
    meanY += point.y / count;
  }
  double products = 0;
  double squares = 0;
  for (const FitPoint& point : points) {
    products += (point.x - meanX) * (point.y - meanY);
    squares += (point.x - meanX) * (point.x - meanX);
  }
  const double slope = products / squares;
  return { slope, meanY - slope * meanX };
}

/// \brief The largest vertical distance of a point from the line.
[[nodiscard]] inline double LargestResidual(const LinearFit& fit, std::span<const FitPoint> points)
{
  double largest = 0;
  for (const FitPoint& point : points) {
    largest = std::max(largest, fit.Residual(point));
  }
  return largest;
}

} // namespace gooseberrysail::bench
