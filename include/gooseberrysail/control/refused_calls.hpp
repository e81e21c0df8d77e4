#pragma once

#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace gooseberrysail {

/// \brief Reports refused calls of targets and operators at a bounded rate.
/// \remarks Anyone can send such calls, so one log line per call would let a single caller fill the
/// log. One line a second with the number of calls keeps the count exact.
class RefusedCalls
{
public:
  /// \brief Counts a call; `caller` is the name given in the call, "" for none.
  void Note(std::string caller, std::string reason);

  /// \returns The latest call and the number of calls since the last report; none while the
  /// interval runs or when there were no calls.
  [[nodiscard]] std::optional<EventOut> TakeReport(TimePoint now);

  static constexpr Duration kInterval = std::chrono::seconds(1);

private:
  std::string m_caller;
  std::string m_reason;
  std::uint64_t m_calls = 0; ///< Not reported yet.
  std::optional<TimePoint> m_reportedAt;
};

} // namespace gooseberrysail
