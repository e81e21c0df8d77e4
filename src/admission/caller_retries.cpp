#include "gooseberrysail/admission/caller_retries.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// The usual time left is the longest one of the last one to two periods.
constexpr Duration kPeriod = 5s;
/// A caller that was refused has spent at least this on its first attempt and the wait.
constexpr Duration kMinSpent = 100ms;

} // namespace

bool CallerRetries::Observe(TimePoint now, std::string_view route, Duration timeLeft)
{
  auto found = m_routes.find(route);
  if (found == m_routes.end()) {
    found = m_routes.emplace(std::string(route), Longest{ now, {}, {} }).first;
  }
  Longest& longest = found->second;
  if (now - longest.since >= kPeriod) {
    const bool isRecent = now - longest.since < 2 * kPeriod;
    longest = { now, Duration::zero(), isRecent ? longest.present : Duration::zero() };
  }
  longest.present = std::max(longest.present, timeLeft);
  return timeLeft + kMinSpent <= std::max(longest.present, longest.former);
}

} // namespace gooseberrysail
