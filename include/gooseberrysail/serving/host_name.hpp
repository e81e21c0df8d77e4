#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace gooseberrysail {

/// \brief The host that a Host header or the host of a route names, as "name", "1.2.3.4" or
/// "[::1]".
/// \remarks Equal for all spellings of one host: letter case, percent-encoding, the port and the
/// dot of the root domain are left out, and an IPv6 address has its shortest form.
/// \returns None for a text that names no host.
[[nodiscard]] std::optional<std::string> ReadHostName(std::string_view text);

} // namespace gooseberrysail
