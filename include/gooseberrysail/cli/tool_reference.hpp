#pragma once

#include <string>

namespace gooseberrysail {

/// \brief The text of docs/operators/tool.md, generated from the table of commands.
[[nodiscard]] std::string ToolReference();

} // namespace gooseberrysail
