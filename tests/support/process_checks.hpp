#pragma once

#include <cstddef>
#include <string_view>
#include <sys/wait.h>

namespace gooseberrysail::test {

/// \param status As of waitpid; -1 for a process that still runs.
/// \returns Whether the process has ended by itself with status 0.
[[nodiscard]] inline bool IsOrderlyExit(int status)
{
  return status != -1 && WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

/// \brief How often `part` occurs in a process's output.
[[nodiscard]] inline std::size_t CountOccurrences(std::string_view output, std::string_view part)
{
  std::size_t count = 0;
  for (std::size_t at = output.find(part); at != std::string_view::npos;
       at = output.find(part, at + 1)) {
    ++count;
  }
  return count;
}

} // namespace gooseberrysail::test
