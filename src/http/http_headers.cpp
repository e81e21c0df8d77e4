#include "http/http_headers.hpp"

#include "gooseberrysail/http/http_client.hpp"

#include <algorithm>
#include <array>

namespace gooseberrysail {

namespace impl {

namespace {

constexpr std::array<std::string_view, 10> kHopHeaders{
  "connection", "keep-alive",        "proxy-connection", "proxy-authenticate", "te", "trailer",
  "upgrade",    "transfer-encoding", "expect",           "content-length",
};

bool IsTokenLetter(char letter) noexcept
{
  return letter > ' ' && letter < 0x7f;
}

bool IsNameLetter(char letter) noexcept
{
  return IsTokenLetter(letter) && letter != ':';
}

// A line break in a value would begin a new header, or a whole new message, of the sender's choice.
bool IsValueLetter(char letter) noexcept
{
  return letter != '\r' && letter != '\n' && letter != '\0';
}

} // namespace

bool IsHopHeader(std::string_view name) noexcept
{
  return std::any_of(kHopHeaders.begin(), kHopHeaders.end(), [&](std::string_view hop) {
    return SameHeaderName(name, hop);
  });
}

bool IsSafeHeader(const HttpHeader& header) noexcept
{
  return !header.name.empty() &&
         std::all_of(header.name.begin(), header.name.end(), IsNameLetter) &&
         std::all_of(header.value.begin(), header.value.end(), IsValueLetter);
}

bool IsSafeToken(std::string_view text) noexcept
{
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenLetter);
}

} // namespace impl

} // namespace gooseberrysail
