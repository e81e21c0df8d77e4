#pragma once

#include "gooseberrysail/core/time.hpp"

namespace gooseberrysail {

/// \brief Step of an exponential moving average; returns `latest` while `known` is zero.
[[nodiscard]] inline Duration Smooth(Duration known, Duration latest, double weight)
{
  const Duration change = std::chrono::duration_cast<Duration>((latest - known) * weight);
  return known == Duration::zero() ? latest : known + change;
}

} // namespace gooseberrysail
