#pragma once

#include <string>

namespace gooseberrysail {

/// \brief docs/operators/tool.md, from the table of commands.
[[nodiscard]] std::string ToolReference();

} // namespace gooseberrysail
