#pragma once

#include "gooseberrysail/core/result.hpp"

#include <string>

namespace gooseberrysail {

/// \brief Creates a file or replaces its content.
[[nodiscard]] Result<void> WriteWholeFile(const std::string& path, const std::string& text);

} // namespace gooseberrysail
