#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace gooseberrysail {

/// \brief A path in the spelling that is equal for all percent-encodings of the same segments.
/// \returns None for a text that can't be the path of a request.
[[nodiscard]] std::optional<std::string> ReadUrlPath(std::string_view path);

} // namespace gooseberrysail
