#pragma once

#include <cstdint>
#include <limits>

namespace gooseberrysail::impl {

/// \brief Row number in one of the planner's tables.
using Row = std::uint32_t;
inline constexpr Row kNoRow = std::numeric_limits<Row>::max();

} // namespace gooseberrysail::impl
