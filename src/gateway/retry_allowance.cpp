#include "gooseberrysail/gateway/retry_allowance.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

/// Part of the allowance that is used: the budget is checked over every window that slides, and the
/// number of entries that an entry was told may be a moment old.
constexpr double kUsedPart = 0.7;

} // namespace

RetryAllowance::Window& RetryAllowance::At(TimePoint now, std::string_view service)
{
  auto found = m_windows.find(service);
  if (found == m_windows.end()) {
    found = m_windows.emplace(std::string(service), Window{}).first;
    found->second.since = now;
  }
  Window& window = found->second;
  const Duration age = now - window.since;
  if (age >= m_settings.window) {
    const bool follows = age < 2 * m_settings.window;
    window.formerRequests = follows ? window.requests : 0;
    window.formerRetries = follows ? window.retries : 0;
    window.requests = 0;
    window.retries = 0;
    window.since = now;
  }
  return window;
}

void RetryAllowance::NoteRequest(TimePoint now, std::string_view service)
{
  At(now, service).requests += 1;
}

bool RetryAllowance::TryTake(TimePoint now, std::string_view service)
{
  Window& window = At(now, service);
  // A window that slides may hold all of the former one's retries beside this one's.
  const double requests = std::max(window.requests, window.formerRequests);
  const double allowed = kUsedPart * (m_settings.ratio * requests + m_settings.slack / m_entries);
  if (window.retries + window.formerRetries + 1 > allowed) {
    return false;
  }
  window.retries += 1;
  return true;
}

} // namespace gooseberrysail
