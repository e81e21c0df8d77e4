#include "gooseberrysail/core/http_header.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

char Lower(char letter) noexcept
{
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

} // namespace

bool SameHeaderName(std::string_view left, std::string_view right) noexcept
{
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
    return Lower(a) == Lower(b);
  });
}

std::string_view FindHeader(const std::vector<HttpHeader>& headers, std::string_view name) noexcept
{
  const auto found = std::find_if(headers.begin(), headers.end(), [&](const HttpHeader& header) {
    return SameHeaderName(header.name, name);
  });
  return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

} // namespace gooseberrysail
