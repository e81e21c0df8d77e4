#pragma once

#include "gooseberrysail/roles/inputs.hpp"

#include <string_view>

namespace gooseberrysail::impl {

/// Status of a response that failed behind this process; the request may have run.
inline constexpr unsigned kBadGateway = 502;

/// Names a request in the logs of callers, entries and targets.
inline constexpr std::string_view kRequestIdHeader = "X-Request-Id";

/// \brief Whether the header applies to a single connection and must not be forwarded.
[[nodiscard]] bool IsHopByHopHeader(std::string_view name) noexcept;

/// \brief Whether a body with this Transfer-Encoding is read as it was before it was encoded.
[[nodiscard]] bool IsReadableCoding(std::string_view transferEncoding) noexcept;

/// \brief Whether name and value are free of characters that allow header injection.
[[nodiscard]] bool IsSafeHeader(const HttpHeader& header) noexcept;

/// \brief Whether the text is valid as the method or path in a request line.
[[nodiscard]] bool IsSafeToken(std::string_view text) noexcept;

} // namespace gooseberrysail::impl
