#pragma once

#include "gooseberrysail/core/time.hpp"

#include <map>
#include <string>
#include <string_view>

namespace gooseberrysail {

/// \brief Tells callers' retries from their first attempts.
/// \remarks A retry has a request id of its own and mostly reaches another entry. It can be told by
/// the time that it has left, which is shorter than that of the route's first attempts.
class CallerRetries
{
public:
  /// \brief Records a request.
  /// \returns Whether it is a retry.
  bool Observe(TimePoint now, std::string_view route, Duration timeLeft);

private:
  /// \brief The longest time left that requests stated, in the present and the former period.
  struct Longest
  {
    TimePoint since{}; ///< Start of the present period.
    Duration present{};
    Duration former{};
  };

  std::map<std::string, Longest, std::less<>> m_routes;
};

} // namespace gooseberrysail
