#pragma once

#include "gooseberrysail/core/time.hpp"

#include <algorithm>

namespace gooseberrysail::impl {

[[nodiscard]] inline double Seconds(Duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

/// \brief Converts seconds to a Duration, limited to one day so that an unbounded wait doesn't
/// overflow.
[[nodiscard]] inline Duration FromSeconds(double seconds)
{
  constexpr double kMaxSeconds = 86400;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::clamp(seconds, 0.0, kMaxSeconds)));
}

} // namespace gooseberrysail::impl
