#pragma once

#include <string>

namespace gooseberrysail {

/// \brief A number with two decimals, for headers and events.
[[nodiscard]] std::string ToDecimal(double value);

} // namespace gooseberrysail
