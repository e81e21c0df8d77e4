#pragma once

#include <cstdint>
#include <optional>

namespace gooseberrysail {

/// \brief Rank of a request; 0 is the most urgent.
using Urgency = std::uint32_t;

/// \brief A workspace's own priority takes precedence over that of the route.
[[nodiscard]] constexpr Urgency UrgencyOf(std::optional<std::uint32_t> workspacePriority,
                                          std::uint32_t routePriority) noexcept
{
  return workspacePriority.value_or(routePriority);
}

/// \brief One of this many slots that come free goes to a less urgent request, if one waits.
/// \remarks With strict priority, less urgent requests are not served at all for as long as more
/// urgent ones alone exceed the capacity.
inline constexpr std::uint32_t kSlotsPerLessUrgentTurn = 4;

} // namespace gooseberrysail
