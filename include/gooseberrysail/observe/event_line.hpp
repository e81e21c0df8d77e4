#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/observe/event_catalog.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <string>
#include <string_view>

namespace gooseberrysail {

[[nodiscard]] const char* ToString(EventLevel level) noexcept;

/// \brief RFC 3339 in UTC with milliseconds: `2026-12-02T18:53:27.120Z`.
[[nodiscard]] std::string FormatWallTime(WallMillis time);

/// \brief The value as it stands in a log line: quoted when it could be misread.
/// \remarks Quotes, backslashes and control characters are escaped as in JSON.
[[nodiscard]] std::string EscapeFieldValue(std::string_view value);

/// \brief `key=value` pairs, separated by spaces.
[[nodiscard]] std::string FormatFields(
  const std::vector<std::pair<std::string, std::string>>& fields);

/// \brief One line for one event, without line end.
/// \code
/// 2026-12-02T18:53:27.120Z info 101 ProcessStopping process=entry-1 inFlight=12
/// \endcode
[[nodiscard]] std::string FormatEventLine(const EventOut& event,
                                          WallMillis time,
                                          const ProcessId& process);

} // namespace gooseberrysail
