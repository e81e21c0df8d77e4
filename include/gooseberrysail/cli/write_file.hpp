#pragma once

#include "gooseberrysail/core/result.hpp"

#include <string>

namespace gooseberrysail {

/// \brief Replaces a file's content.
[[nodiscard]] Result<void> WriteWholeFile(const std::string& path, const std::string& text);

} // namespace gooseberrysail
