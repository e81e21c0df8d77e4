#include "gooseberrysail/admission/shares.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace gooseberrysail {

std::vector<double> DivideShares(double limit, std::span<const double> demands)
{
  const auto count = static_cast<double>(demands.size());
  const double total = std::accumulate(demands.begin(), demands.end(), 0.0);
  // With enough for all, what is left over goes to everyone alike: the next burst may come
  // anywhere. Otherwise the limit follows the demand.
  const double even = total < limit ? limit - total : limit * kEvenPart;
  const double byDemand = limit - even;
  std::vector<double> shares;
  shares.reserve(demands.size());
  for (const double demand : demands) {
    shares.push_back(even / count + (total > 0 ? byDemand * demand / total : 0));
  }
  return shares;
}

std::vector<std::uint32_t> DivideCount(std::uint32_t limit, std::span<const double> demands)
{
  const std::vector<double> exact = DivideShares(limit, demands);
  std::vector<std::uint32_t> counts;
  counts.reserve(exact.size());
  for (const double share : exact) {
    counts.push_back(static_cast<std::uint32_t>(share));
  }
  // What rounding down left goes to the largest remainders.
  std::vector<std::size_t> order(exact.size());
  std::iota(order.begin(), order.end(), 0);
  std::ranges::stable_sort(
    order, std::greater{}, [&](std::size_t i) { return exact[i] - counts[i]; });
  std::uint32_t left = limit - std::accumulate(counts.begin(), counts.end(), 0U);
  for (const std::size_t i : order) {
    if (left == 0) {
      break;
    }
    ++counts[i];
    --left;
  }
  return counts;
}

} // namespace gooseberrysail
