#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace gooseberrysail {

/// \brief A header of an HTTP message; names are case-insensitive.
struct HttpHeader
{
  std::string name;
  std::string value;
};

/// \brief Compares two header names, ignoring case.
[[nodiscard]] bool SameHeaderName(std::string_view left, std::string_view right) noexcept;

/// \brief The value of the first header of this name; "" when absent.
[[nodiscard]] std::string_view FindHeader(const std::vector<HttpHeader>& headers,
                                          std::string_view name) noexcept;

} // namespace gooseberrysail
