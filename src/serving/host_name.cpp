#include "gooseberrysail/serving/host_name.hpp"

#include <algorithm>
#include <boost/url/authority_view.hpp>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <system_error>
#include <utility>

namespace gooseberrysail {

namespace {

namespace urls = boost::urls;

std::string ToLower(std::string text)
{
  std::ranges::transform(
    text, text.begin(), [](unsigned char letter) { return std::tolower(letter); });
  return text;
}

bool IsDomainName(std::string_view name)
{
  const auto isAllowed = [](unsigned char letter) {
    return std::isalnum(letter) != 0 || letter == '-' || letter == '_' || letter == '.';
  };
  return !name.empty() && name.front() != '.' && name.back() != '.' &&
         name.find("..") == std::string_view::npos && std::ranges::all_of(name, isAllowed);
}

/// An empty port stands for the default one.
bool IsPort(std::string_view text)
{
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
  return text.empty() || (error == std::errc() && end == text.data() + text.size() && port != 0);
}

std::optional<std::string> ReadDomainName(std::string name)
{
  if (name.ends_with('.')) {
    name.pop_back();
  }
  name = ToLower(std::move(name));
  return IsDomainName(name) ? std::optional(std::move(name)) : std::nullopt;
}

} // namespace

std::optional<std::string> ReadHostName(std::string_view text)
{
  const auto authority = urls::parse_authority(urls::string_view(text.data(), text.size()));
  if (!authority || authority->has_userinfo() || !IsPort(authority->port())) {
    return std::nullopt;
  }
  switch (authority->host_type()) {
    case urls::host_type::ipv6:
      return "[" + authority->host_ipv6_address().to_string() + "]";
    case urls::host_type::ipv4:
      return authority->host_ipv4_address().to_string();
    case urls::host_type::name:
      return ReadDomainName(authority->host_name());
    default:
      return std::nullopt;
  }
}

} // namespace gooseberrysail
