#pragma once

#include "gooseberrysail/core/time.hpp"

#include <algorithm>

namespace gooseberrysail {

/// \brief The stages of a stop, as times after its signal.
struct StopTimes
{
  Duration drain{};       ///< New requests are refused from here on.
  Duration endRequests{}; ///< Requests in flight are ended; their callers are answered.
  Duration close{};       ///< All connections are closed.
};

/// \brief The stages that fit into the time that a supervisor waits before it kills the process.
[[nodiscard]] constexpr StopTimes StopTimesFor(Duration stopTimeout)
{
  using namespace std::chrono_literals;
  // A load balancer probes once a second and removes a process after two failed probes. Until then
  // it sends callers, which are still served.
  constexpr Duration kDrainTime = 2500ms;
  // Enough to write answers and log lines.
  constexpr Duration kEndMargin = 500ms;
  constexpr int kEndFraction = 6;
  const Duration margin = std::min(kEndMargin, stopTimeout / kEndFraction);
  return { .drain = std::min(kDrainTime, stopTimeout / 2),
           .endRequests = stopTimeout - margin,
           .close = stopTimeout - margin / 2 };
}

} // namespace gooseberrysail
