#pragma once

#include "gooseberrysail/core/result.hpp"

#include <string>

namespace gooseberrysail {

/// \brief Reads a whole file; the path "-" means standard input.
/// \remarks Files over 16 MiB are rejected with kTooLarge.
[[nodiscard]] Result<std::string> ReadWholeFile(const std::string& path);

} // namespace gooseberrysail
