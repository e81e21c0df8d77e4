#pragma once

#include "gooseberrysail/core/result.hpp"

#include <cstdint>
#include <sys/types.h>

namespace gooseberrysail {

/// \brief Resource usage of a process.
struct ProcessUsage
{
  double cpuSeconds = 0; ///< User and system time since its start.
  std::uint64_t residentBytes = 0;
};

/// \brief Reads the usage from /proc; for metrics and benchmarks.
/// \param pid 0 selects the calling process.
[[nodiscard]] Result<ProcessUsage> ReadProcessUsage(pid_t pid = 0);

} // namespace gooseberrysail
