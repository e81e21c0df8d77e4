#pragma once

#include "gooseberrysail/core/time.hpp"

#include <algorithm>

namespace gooseberrysail::impl {

[[nodiscard]] inline double Seconds(Duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

/// \brief Converts back; a wait without end becomes a day, which still fits a Duration.
[[nodiscard]] inline Duration FromSeconds(double seconds)
{
  constexpr double kMost = 86400;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::clamp(seconds, 0.0, kMost)));
}

} // namespace gooseberrysail::impl
