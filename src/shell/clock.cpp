#include "gooseberrysail/shell/clock.hpp"

#include <ctime>

namespace gooseberrysail {

TimePoint BootNow() noexcept
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

Duration ThreadCpuTime() noexcept
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

WallMillis WallNow() noexcept
{
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace gooseberrysail
