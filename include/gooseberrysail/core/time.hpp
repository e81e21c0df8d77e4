#pragma once

#include <chrono>
#include <cstdint>

namespace gooseberrysail {

using Duration = std::chrono::nanoseconds;

/// \brief The clock of all timeouts and leases.
/// \remarks The daemon reads it from CLOCK_BOOTTIME, which also advances while a VM is suspended.
/// With a clock that stops, a resumed process would still hold leases that ended long ago.
struct BootClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
};

/// \brief A moment on one machine's BootClock; meaningless on another machine.
using TimePoint = BootClock::time_point;

/// \brief Milliseconds since 1970, for display only; no decision depends on it.
using WallMillis = std::int64_t;

[[nodiscard]] constexpr std::int64_t ToMillis(Duration duration) noexcept
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace gooseberrysail
