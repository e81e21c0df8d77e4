#pragma once

#include "gooseberrysail/core/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace gooseberrysail {

/// \brief Limit on the retries that all entries together may send to one service.
struct RetrySettings
{
  double ratio = 0.2; ///< Retries per request to the service.
  double slack = 100; ///< Additional retries in each window.
  Duration window = std::chrono::seconds(10);
};

/// \brief One entry's part of each service's retry budget.
/// \remarks The ratio applies to this entry's own requests, and the slack is divided by the number
/// of entries, so that the parts together stay within the budget without coordination.
class RetryAllowance
{
public:
  explicit RetryAllowance(RetrySettings settings)
    : m_settings(settings)
  {
  }

  void SetEntries(std::uint32_t entries) { m_entries = entries == 0 ? 1 : entries; }

  /// \brief A request for the service arrived.
  void CountRequest(TimePoint now, std::string_view service);

  /// \brief Whether TryTake() would succeed.
  [[nodiscard]] bool HasLeft(TimePoint now, std::string_view service);

  /// \brief Uses one retry of the allowance.
  /// \returns False when none is left.
  [[nodiscard]] bool TryTake(TimePoint now, std::string_view service);

private:
  struct Window
  {
    TimePoint since{};
    double requests = 0;
    double retries = 0;
    double previousRequests = 0;
    double previousRetries = 0;
  };

  Window& CurrentWindow(TimePoint now, std::string_view service);

  RetrySettings m_settings;
  std::uint32_t m_entries = 1;
  std::map<std::string, Window, std::less<>> m_windows; ///< By service.
};

} // namespace gooseberrysail
