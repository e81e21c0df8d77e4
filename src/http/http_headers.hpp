#pragma once

#include "gooseberrysail/roles/inputs.hpp"

#include <boost/beast/http/fields.hpp>
#include <string_view>

namespace gooseberrysail::impl {

/// Status of a response that failed behind this process; the request may have run.
inline constexpr unsigned kBadGateway = 502;

/// Names a request in the logs of callers, entries and targets.
inline constexpr std::string_view kRequestIdHeader = "X-Request-Id";

/// \brief Whether the header applies to a single connection and must not be forwarded.
[[nodiscard]] bool IsHopByHopHeader(std::string_view name) noexcept;

/// \brief Whether the transfer coding of a message's body is undone when it is read.
[[nodiscard]] bool HasReadableCoding(const boost::beast::http::fields& head);

/// \brief Whether name and value are free of characters that allow header injection.
[[nodiscard]] bool IsSafeHeader(const HttpHeader& header) noexcept;

/// \brief Whether the text is valid as the method or path in a request line.
[[nodiscard]] bool IsSafeToken(std::string_view text) noexcept;

} // namespace gooseberrysail::impl
