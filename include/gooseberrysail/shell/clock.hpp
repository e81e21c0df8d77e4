#pragma once

#include "gooseberrysail/core/time.hpp"

namespace gooseberrysail {

/// \brief Reads CLOCK_BOOTTIME.
[[nodiscard]] TimePoint BootNow() noexcept;

/// \brief Processor time that the calling thread has used.
[[nodiscard]] Duration ThreadCpuTime() noexcept;

/// \brief Reads the wall clock, for time stamps that people read.
[[nodiscard]] WallMillis WallNow() noexcept;

} // namespace gooseberrysail
