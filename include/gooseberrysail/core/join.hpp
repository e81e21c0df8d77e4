#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace gooseberrysail {

/// \brief Concatenates the texts of the items, with `separator` between them.
/// \code
///   Join(members, ",", &VmId::Get)
/// \endcode
template<class Items, class Project = std::identity>
[[nodiscard]] std::string Join(const Items& items, std::string_view separator, Project project = {})
{
  std::string text;
  for (const auto& item : items) {
    if (!text.empty()) {
      text += separator;
    }
    text += std::invoke(project, item);
  }
  return text;
}

} // namespace gooseberrysail
