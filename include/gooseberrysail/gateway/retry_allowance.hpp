#pragma once

#include "gooseberrysail/core/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace gooseberrysail {

/// \brief How many second attempts all entries together may make at one service.
struct RetrySettings
{
  double ratio = 0.2; ///< Of the requests for the service.
  double slack = 100; ///< Besides, in each window.
  Duration window = std::chrono::seconds(10);
};

/// \brief One entry's part of the retry budget of each service.
/// \remarks The ratio applies to this entry's own requests, and the slack is divided by the number
/// of entries, so that all parts together stay within the budget without asking each other.
class RetryAllowance
{
public:
  explicit RetryAllowance(RetrySettings settings)
    : m_settings(settings)
  {
  }

  void SetEntries(std::uint32_t entries) { m_entries = entries == 0 ? 1 : entries; }

  /// \brief A request for the service arrived.
  void NoteRequest(TimePoint now, std::string_view service);

  /// \brief Takes one second attempt out of the allowance.
  [[nodiscard]] bool TryTake(TimePoint now, std::string_view service);

private:
  struct Window
  {
    TimePoint since{};
    double requests = 0;
    double retries = 0;
    double formerRequests = 0;
    double formerRetries = 0;
  };

  Window& At(TimePoint now, std::string_view service);

  RetrySettings m_settings;
  std::uint32_t m_entries = 1;
  std::map<std::string, Window, std::less<>> m_windows; ///< By service.
};

} // namespace gooseberrysail
