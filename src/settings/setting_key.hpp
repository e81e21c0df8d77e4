#pragma once

#include "gooseberrysail/settings/settings.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrysail::impl {

enum class SettingType
{
  kChoice,        ///< One of the words in `choices`.
  kName,          ///< Letters, digits, '.', '_' and '-'.
  kNameList,      ///< Names, separated by commas.
  kCount,         ///< A whole number of `unit`.
  kListenAddress, ///< "ip:port"; port 0 selects a free port.
  kAddress,       ///< "ip:port".
  kPath,
  kHexHash,     ///< 64 hexadecimal digits.
  kSecret,      ///< Text that is never printed.
  kPeer,        ///< "name=ip:port"; the key may be given several times.
  kAddressList, ///< "ip:port,ip:port"
  kFraction,    ///< A number from 0 to 1.
  kNumber,      ///< A decimal number of `unit`.
};

/// \brief A set of roles, one bit each.
using RoleSet = unsigned;

inline constexpr RoleSet kNoRole = 0;
inline constexpr RoleSet kEntryRole = 1U << static_cast<unsigned>(ProcessRole::kEntry);
inline constexpr RoleSet kControlRole = 1U << static_cast<unsigned>(ProcessRole::kControl);
inline constexpr RoleSet kAgentRole = 1U << static_cast<unsigned>(ProcessRole::kAgent);
inline constexpr RoleSet kEveryRole = kEntryRole | kControlRole | kAgentRole;

[[nodiscard]] constexpr bool Contains(RoleSet roles, ProcessRole role) noexcept
{
  return ((roles >> static_cast<unsigned>(role)) & 1U) != 0;
}

/// \brief A value that is valid for its key.
struct SettingValue
{
  std::string text;
  std::int64_t number = 0; ///< kCount only.
  double decimal = 0;      ///< kFraction and kNumber only.
};

/// \brief One key; the source of parsing, validation and docs/SETTINGS.md.
struct SettingKey
{
  std::string_view key; ///< "section.key".
  SettingType type;
  std::string_view unit; ///< kCount and kNumber only.
  std::int64_t minimum;
  std::int64_t maximum;
  std::string_view choices;      ///< kChoice only: words separated by '|'.
  std::string_view defaultValue; ///< "" if there is none.
  RoleSet roles;                 ///< Roles for which the key is allowed.
  RoleSet required;              ///< Roles for which it is required.
  std::string_view help;
  void (*store)(ProcessSettings& settings, const SettingValue& value);
};

[[nodiscard]] std::span<const SettingKey> SettingKeys() noexcept;

/// \returns The row of `key`, or null.
[[nodiscard]] const SettingKey* FindSettingKey(std::string_view key) noexcept;

/// \brief Describes the allowed values, for errors and the docs: "1 to 65535 bytes".
[[nodiscard]] std::string DescribeRange(const SettingKey& key);

/// \brief Parses and validates a value from the file.
[[nodiscard]] Result<SettingValue> CheckSettingValue(const SettingKey& key, std::string_view text);

/// \brief Splits a list at its commas.
[[nodiscard]] std::vector<std::string> SplitList(std::string_view text);

/// \brief Splits "name=ip:port".
[[nodiscard]] PeerAddress SplitPeer(std::string_view text);

} // namespace gooseberrysail::impl
