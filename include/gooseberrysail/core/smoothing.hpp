#pragma once

#include "gooseberrysail/core/time.hpp"

namespace gooseberrysail {

/// \brief A mean that forgets: `latest` counts with `weight`, or whole while nothing is known.
[[nodiscard]] inline Duration Smooth(Duration known, Duration latest, double weight)
{
  const Duration change = std::chrono::duration_cast<Duration>((latest - known) * weight);
  return known == Duration::zero() ? latest : known + change;
}

} // namespace gooseberrysail
