#pragma once

#include "gooseberrysail/core/result.hpp"

#include <string>

namespace gooseberrysail {

/// \brief Reads a small file whole; "-" reads standard input.
/// \remarks Files over 16 MiB are refused.
[[nodiscard]] Result<std::string> ReadWholeFile(const std::string& path);

} // namespace gooseberrysail
