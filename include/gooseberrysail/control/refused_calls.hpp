#pragma once

#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace gooseberrysail {

/// \brief Reports calls of targets and operators that were refused, at a bounded rate.
/// \remarks Anybody may call. A line for each call would let one writer fill the log; a line a
/// second with the number of calls keeps the count exact.
class RefusedCalls
{
public:
  /// \brief Counts a call; `caller` is whom it named, "" for none.
  void Note(std::string caller, std::string reason);

  /// \brief What to report now, if anything: the latest call and how many came since the last time.
  [[nodiscard]] std::optional<EventOut> TakeReport(TimePoint now);

  static constexpr Duration kInterval = std::chrono::seconds(1);

private:
  std::string m_caller;
  std::string m_reason;
  std::uint64_t m_calls = 0; ///< Not reported yet.
  std::optional<TimePoint> m_reportedAt;
};

} // namespace gooseberrysail
