#pragma once

#include "gooseberrysail/core/result.hpp"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrysail::impl {

/// \brief One write of a change.
struct CatalogueWrite
{
  std::string kind;
  std::string name;
  boost::json::object entry;                     ///< Without revision and version.
  std::optional<std::uint64_t> expectedRevision; ///< None: to be read from the catalogue.
  bool remove = false;
};

/// \brief Reads and checks a file of entries: one entry, a list, or {"entries":[...]}.
/// \returns An error that names every fault of every entry.
[[nodiscard]] Result<std::vector<CatalogueWrite>> ParseCatalogueFile(const std::string& text,
                                                                     const std::string& path);

/// \brief The body of POST /admin/v1/catalogue.
[[nodiscard]] std::string ChangeBody(const std::string& changeId,
                                     const std::string& operatorName,
                                     std::span<const CatalogueWrite> writes);

/// \brief Whether a committed change of the history wrote the same entries.
[[nodiscard]] bool IsSameChange(const boost::json::object& change,
                                std::span<const CatalogueWrite> writes);

} // namespace gooseberrysail::impl
