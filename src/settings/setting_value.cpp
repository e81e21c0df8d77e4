#include "settings/setting_key.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace gooseberrysail::impl {

namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kHashDigits = 64;
constexpr std::size_t kMinSecretBytes = 32;
constexpr int kMaxPort = 65'535;

bool IsNameByte(char byte) noexcept
{
  return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
         (byte >= '0' && byte <= '9') || byte == '.' || byte == '_' || byte == '-';
}

bool IsName(std::string_view text) noexcept
{
  return !text.empty() && text.size() <= kMaxNameBytes && std::ranges::all_of(text, IsNameByte);
}

bool IsHexHash(std::string_view text) noexcept
{
  const auto isDigit = [](char byte) {
    return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'f');
  };
  return text.size() == kHashDigits && std::ranges::all_of(text, isDigit);
}

bool ParseWhole(std::string_view text, std::int64_t& number) noexcept
{
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

bool IsIp(std::string_view text)
{
  const std::string host(text);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    in6_addr v6{};
    return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &v6) == 1;
  }
  in_addr v4{};
  return inet_pton(AF_INET, host.c_str(), &v4) == 1;
}

bool IsAddress(std::string_view text, std::int64_t minPort)
{
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || !IsIp(text.substr(0, colon))) {
    return false;
  }
  std::int64_t port = 0;
  return ParseWhole(text.substr(colon + 1), port) && port >= minPort && port <= kMaxPort;
}

bool IsAddressList(std::string_view text)
{
  const std::vector<std::string> addresses = SplitList(text);
  return !addresses.empty() && std::ranges::all_of(addresses, [](const std::string& address) {
    return IsAddress(address, 1);
  });
}

bool IsNameList(std::string_view text)
{
  const std::vector<std::string> names = SplitList(text);
  return !names.empty() && std::ranges::all_of(names, IsName);
}

bool ParseDecimal(std::string_view text, double& decimal) noexcept
{
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, decimal);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

/// False for a value that is no number.
bool IsBetween(double value, double minimum, double maximum) noexcept
{
  return value >= minimum && value <= maximum;
}

bool IsPeer(std::string_view text)
{
  const auto equals = text.find('=');
  return equals != std::string_view::npos && IsName(text.substr(0, equals)) &&
         IsAddress(text.substr(equals + 1), 1);
}

bool IsChoice(std::string_view choices, std::string_view text)
{
  while (!choices.empty()) {
    const auto bar = choices.find('|');
    if (choices.substr(0, bar) == text) {
      return true;
    }
    choices = bar == std::string_view::npos ? "" : choices.substr(bar + 1);
  }
  return false;
}

bool IsInRange(const SettingKey& key, SettingValue& value)
{
  switch (key.type) {
    case SettingType::kChoice:
      return IsChoice(key.choices, value.text);
    case SettingType::kName:
      return IsName(value.text);
    case SettingType::kNameList:
      return IsNameList(value.text);
    case SettingType::kCount:
      return ParseWhole(value.text, value.number) && value.number >= key.minimum &&
             value.number <= key.maximum;
    case SettingType::kListenAddress:
      return IsAddress(value.text, 0);
    case SettingType::kAddress:
      return IsAddress(value.text, 1);
    case SettingType::kPath:
      return !value.text.empty();
    case SettingType::kHexHash:
      return IsHexHash(value.text);
    case SettingType::kSecret:
      return value.text.size() >= kMinSecretBytes;
    case SettingType::kPeer:
      return IsPeer(value.text);
    case SettingType::kAddressList:
      return IsAddressList(value.text);
    case SettingType::kFraction:
      return ParseDecimal(value.text, value.decimal) && IsBetween(value.decimal, 0, 1);
    case SettingType::kNumber:
      return ParseDecimal(value.text, value.decimal) && IsBetween(value.decimal,
                                                                  static_cast<double>(key.minimum),
                                                                  static_cast<double>(key.maximum));
  }
  return false;
}

} // namespace

std::string DescribeRange(const SettingKey& key)
{
  switch (key.type) {
    case SettingType::kChoice: {
      std::string words(key.choices);
      for (std::size_t bar = words.find('|'); bar != std::string::npos; bar = words.find('|')) {
        words.replace(bar, 1, ", ");
      }
      return "one of " + words;
    }
    case SettingType::kName:
      return "a name of 1 to 64 letters, digits, '.', '_' or '-'";
    case SettingType::kNameList:
      return "names of 1 to 64 letters, digits, '.', '_' or '-', separated by commas";
    case SettingType::kCount:
    case SettingType::kNumber:
      return std::to_string(key.minimum) + " to " + std::to_string(key.maximum) + " " +
             std::string(key.unit);
    case SettingType::kListenAddress:
      return "an address ip:port, port 0 to 65535 (0: any free port)";
    case SettingType::kAddress:
      return "an address ip:port, port 1 to 65535";
    case SettingType::kPath:
      return "a path";
    case SettingType::kHexHash:
      return "64 lower-case hexadecimal digits";
    case SettingType::kSecret:
      return "at least 32 bytes";
    case SettingType::kPeer:
      return "name=ip:port, port 1 to 65535";
    case SettingType::kAddressList:
      return "addresses ip:port, separated by commas";
    case SettingType::kFraction:
      return "a number from 0 to 1";
  }
  return "";
}

Result<SettingValue> CheckSettingValue(const SettingKey& key, std::string_view text)
{
  SettingValue value{ std::string(text), 0, 0 };
  if (IsInRange(key, value)) {
    return value;
  }
  // An invalid secret must not be printed either: errors go to terminals and logs.
  const std::string shown = key.type == SettingType::kSecret ? "" : " '" + value.text + "'";
  return Error{ ErrorCode::kInvalid,
                "check setting",
                std::string(key.key),
                "value" + shown + " is not " + DescribeRange(key) };
}

std::vector<std::string> SplitList(std::string_view text)
{
  std::vector<std::string> addresses;
  while (!text.empty()) {
    const auto comma = text.find(',');
    addresses.emplace_back(text.substr(0, comma));
    text = comma == std::string_view::npos ? "" : text.substr(comma + 1);
  }
  return addresses;
}

PeerAddress SplitPeer(std::string_view text)
{
  const auto equals = text.find('=');
  return { ProcessId(std::string(text.substr(0, equals))), std::string(text.substr(equals + 1)) };
}

} // namespace gooseberrysail::impl
