#include "gooseberrysail/process/usage.hpp"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace gooseberrysail {

namespace {

// Field indexes in /proc/PID/stat, counted after the command name, which may contain spaces and
// brackets.
constexpr int kUserTicksField = 11;
constexpr int kResidentPagesField = 21;

Result<ProcessUsage> ParseStat(const std::string& stat, const std::string& path)
{
  const Error malformed{ ErrorCode::kCorrupt, "read process usage", path, "unexpected format" };
  const auto commandEnd = stat.rfind(')');
  if (commandEnd == std::string::npos) {
    return malformed;
  }
  std::istringstream fields(stat.substr(commandEnd + 1));
  std::string skipped;
  std::uint64_t userTicks = 0;
  std::uint64_t systemTicks = 0;
  std::uint64_t residentPages = 0;
  for (int field = 0; field < kUserTicksField; ++field) {
    fields >> skipped;
  }
  fields >> userTicks >> systemTicks;
  for (int field = kUserTicksField + 2; field < kResidentPagesField; ++field) {
    fields >> skipped;
  }
  fields >> residentPages;
  if (!fields) {
    return malformed;
  }
  ProcessUsage usage;
  usage.cpuSeconds =
    static_cast<double>(userTicks + systemTicks) / static_cast<double>(sysconf(_SC_CLK_TCK));
  usage.residentBytes = residentPages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  return usage;
}

} // namespace

Result<ProcessUsage> ReadProcessUsage(pid_t pid)
{
  const std::string path = "/proc/" + (pid == 0 ? "self" : std::to_string(pid)) + "/stat";
  std::ifstream file(path);
  std::string stat;
  if (!std::getline(file, stat)) {
    return Error{ ErrorCode::kNotFound, "read process usage", path, "no such process" };
  }
  return ParseStat(stat, path);
}

} // namespace gooseberrysail
