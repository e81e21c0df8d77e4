#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/observe/event_catalog.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <string>
#include <string_view>

namespace gooseberrysail {

[[nodiscard]] const char* ToString(EventLevel level) noexcept;

/// \brief Formats a time as RFC 3339 in UTC with milliseconds: `2026-12-02T18:53:27.120Z`.
[[nodiscard]] std::string FormatWallTime(WallMillis time);

/// \brief Formats a value for a log line: quoted if it would otherwise be ambiguous.
/// \remarks Quotes, backslashes and control characters are escaped as in JSON.
[[nodiscard]] std::string EscapeFieldValue(std::string_view value);

/// \brief Formats fields as `key=value` pairs, separated by spaces.
[[nodiscard]] std::string FormatFields(
  const std::vector<std::pair<std::string, std::string>>& fields);

/// \brief Formats an event as one line, without a line terminator.
/// \code
/// 2026-12-02T18:53:27.120Z info 101 ProcessStopping process=entry-1 inFlight=12
/// \endcode
[[nodiscard]] std::string FormatEventLine(const EventOut& event,
                                          WallMillis time,
                                          const ProcessId& process);

} // namespace gooseberrysail
