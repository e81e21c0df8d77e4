#pragma once

#include "gooseberrysail/core/result.hpp"

#include <cstdint>
#include <sys/types.h>

namespace gooseberrysail {

/// \brief What a process has used so far.
struct ProcessUsage
{
  double cpuSeconds = 0; ///< User and system time since its start.
  std::uint64_t residentBytes = 0;
};

/// \brief Reads /proc; for metrics and benches.
/// \param pid 0: the calling process.
[[nodiscard]] Result<ProcessUsage> ReadProcessUsage(pid_t pid = 0);

} // namespace gooseberrysail
