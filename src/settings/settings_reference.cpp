#include "settings/setting_key.hpp"

#include <array>

namespace gooseberrysail {

namespace {

using impl::SettingKey;

constexpr std::array kRoles{ ProcessRole::kEntry, ProcessRole::kControl, ProcessRole::kAgent };

std::string RoleNames(impl::RoleSet roles)
{
  if (roles == impl::kEveryRole) {
    return "every role";
  }
  std::string names;
  for (const ProcessRole role : kRoles) {
    if (impl::Contains(roles, role)) {
      names += (names.empty() ? "" : ", ") + std::string(ToString(role));
    }
  }
  return names;
}

std::string DefaultOf(const SettingKey& row)
{
  if (!row.defaultValue.empty()) {
    return "`" + std::string(row.defaultValue) + "`";
  }
  return row.required == impl::kNoRole ? "none" : "required";
}

std::string RowOf(const SettingKey& row)
{
  return "| `" + std::string(row.key.substr(row.key.find('.') + 1)) + "` | " +
         impl::DescribeRange(row) + " | " + DefaultOf(row) + " | " + RoleNames(row.roles) + " | " +
         std::string(row.help) + " |\n";
}

constexpr std::string_view kIntroduction =
  "# Settings\n"
  "\n"
  "Each daemon reads one INI file. It is checked as a whole: every fault is reported at once with\n"
  "file, line, key and range, and nothing starts while there is one. `gooseberrysail settings "
  "check\n"
  "FILE...` does the same check and needs no running system. Unknown keys are refused. `#` starts "
  "a\n"
  "comment. Relative paths start at the folder of the file.\n"
  "\n"
  "This page is written by `gooseberrysail docs settings` from the table that the check uses.\n";

} // namespace

std::string SettingsReference()
{
  std::string page(kIntroduction);
  std::string_view section;
  for (const SettingKey& row : impl::SettingKeys()) {
    const std::string_view own = row.key.substr(0, row.key.find('.'));
    if (own != section) {
      section = own;
      page += "\n## [" + std::string(section) + "]\n\n";
      page += "| key | value | default | for | meaning |\n";
      page += "|---|---|---|---|---|\n";
    }
    page += RowOf(row);
  }
  return page;
}

} // namespace gooseberrysail
