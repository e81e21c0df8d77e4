#include "http/http_headers.hpp"

#include "gooseberrysail/http/http_client.hpp"

#include <algorithm>
#include <array>

namespace gooseberrysail {

namespace impl {

namespace {

constexpr std::array<std::string_view, 10> kHopByHopHeaders{
  "connection", "keep-alive",        "proxy-connection", "proxy-authenticate", "te", "trailer",
  "upgrade",    "transfer-encoding", "expect",           "content-length",
};

bool IsTokenCharacter(char character) noexcept
{
  return character > ' ' && character < 0x7f;
}

bool IsNameCharacter(char character) noexcept
{
  return IsTokenCharacter(character) && character != ':';
}

// A line break in a value would allow injecting another header or a whole message.
bool IsValueCharacter(char character) noexcept
{
  return character != '\r' && character != '\n' && character != '\0';
}

} // namespace

bool IsHopByHopHeader(std::string_view name) noexcept
{
  return std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(), [&](std::string_view hop) {
    return SameHeaderName(name, hop);
  });
}

bool HasReadableCoding(const boost::beast::http::fields& head)
{
  const auto [first, last] = head.equal_range(boost::beast::http::field::transfer_encoding);
  return std::all_of(
    first, last, [](const auto& field) { return SameHeaderName(field.value(), "chunked"); });
}

bool IsSafeHeader(const HttpHeader& header) noexcept
{
  return !header.name.empty() &&
         std::all_of(header.name.begin(), header.name.end(), IsNameCharacter) &&
         std::all_of(header.value.begin(), header.value.end(), IsValueCharacter);
}

bool IsSafeToken(std::string_view text) noexcept
{
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

} // namespace impl

} // namespace gooseberrysail
