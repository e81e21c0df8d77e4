#include "gooseberrysail/gateway/retry_allowance.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

/// Fraction of the allowance that is used: the budget is checked over every sliding window, and the
/// known number of entries may be out of date.
constexpr double kUsedFraction = 0.7;

} // namespace

RetryAllowance::Window& RetryAllowance::CurrentWindow(TimePoint now, std::string_view service)
{
  auto found = m_windows.find(service);
  if (found == m_windows.end()) {
    found = m_windows.emplace(std::string(service), Window{}).first;
    found->second.since = now;
  }
  Window& window = found->second;
  const Duration age = now - window.since;
  if (age >= m_settings.window) {
    const bool isAdjacent = age < 2 * m_settings.window;
    window.previousRequests = isAdjacent ? window.requests : 0;
    window.previousRetries = isAdjacent ? window.retries : 0;
    window.requests = 0;
    window.retries = 0;
    window.since = now;
  }
  return window;
}

void RetryAllowance::CountRequest(TimePoint now, std::string_view service)
{
  CurrentWindow(now, service).requests += 1;
}

bool RetryAllowance::HasLeft(TimePoint now, std::string_view service)
{
  const Window& window = CurrentWindow(now, service);
  // A sliding window may contain all retries of the previous window as well as this one's.
  const double requests = std::max(window.requests, window.previousRequests);
  const double allowed =
    kUsedFraction * (m_settings.ratio * requests + m_settings.slack / m_entries);
  return window.retries + window.previousRetries + 1 <= allowed;
}

bool RetryAllowance::TryTake(TimePoint now, std::string_view service)
{
  const bool hasLeft = HasLeft(now, service);
  CurrentWindow(now, service).retries += hasLeft ? 1 : 0;
  return hasLeft;
}

} // namespace gooseberrysail
