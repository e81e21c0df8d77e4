#pragma once

#include "gooseberrysail/roles/inputs.hpp"

#include <string_view>

namespace gooseberrysail::impl {

/// \brief Whether the header concerns one connection only; each side of us sets its own.
[[nodiscard]] bool IsHopHeader(std::string_view name) noexcept;

/// \brief Whether name and value can stand in a message without forging other lines of it.
[[nodiscard]] bool IsSafeHeader(const HttpHeader& header) noexcept;

/// \brief Whether the text can stand as method or path of a request line.
[[nodiscard]] bool IsSafeToken(std::string_view text) noexcept;

} // namespace gooseberrysail::impl
