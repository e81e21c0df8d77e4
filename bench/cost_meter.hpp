#pragma once

#include "gooseberrysail/core/time.hpp"

#include <ctime>
#include <fstream>
#include <span>
#include <unistd.h>

namespace gooseberrysail::bench {

/// \brief A cost measured at a number of connections.
struct Sample
{
  double connections = 0;
  double value = 0;
};

/// \brief Processor time that this process has used.
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

/// \brief Memory of this process that is resident.
inline double ResidentKilobytes()
{
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

/// \brief The cost of one more connection by least squares, whatever the process costs itself.
inline double Slope(std::span<const Sample> samples)
{
  const auto count = static_cast<double>(samples.size());
  double meanX = 0;
  double meanY = 0;
  for (const Sample& sample : samples) {
    meanX += sample.connections / count;
    meanY += sample.value / count;
  }
  double above = 0;
  double below = 0;
  for (const Sample& sample : samples) {
    above += (sample.connections - meanX) * (sample.value - meanY);
    below += (sample.connections - meanX) * (sample.connections - meanX);
  }
  return above / below;
}

} // namespace gooseberrysail::bench
