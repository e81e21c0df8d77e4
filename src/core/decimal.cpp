#include "gooseberrysail/core/decimal.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace gooseberrysail {

std::string ToDecimal(double value)
{
  std::array<char, 32> text{};
  const int size = std::snprintf(text.data(), text.size(), "%.2f", value);
  return std::string(text.data(), static_cast<std::size_t>(std::max(size, 0)));
}

} // namespace gooseberrysail
