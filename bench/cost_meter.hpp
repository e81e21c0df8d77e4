#pragma once

#include "gooseberrysail/core/time.hpp"

#include <ctime>
#include <fstream>
#include <unistd.h>

namespace gooseberrysail::bench {

/// \brief The processor time used by this process.
inline Duration ProcessorTime()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

inline double Micros(Duration duration)
{
  return std::chrono::duration<double, std::micro>(duration).count();
}

/// \brief The resident memory of this process.
inline double ResidentKilobytes()
{
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

} // namespace gooseberrysail::bench
