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

/// \brief A write or removal of one entry, as a part of a change.
struct CatalogueWrite
{
  std::string kind;
  std::string name;
  boost::json::object entry;                     ///< Without the fields `revision` and `version`.
  std::optional<std::uint64_t> expectedRevision; ///< None: taken from the current catalogue.
  bool remove = false;
};

/// \brief Parses and validates a file of entries: one entry, a list, or {"entries":[...]}.
/// \returns An error that lists the faults of all entries.
[[nodiscard]] Result<std::vector<CatalogueWrite>> ParseCatalogueFile(const std::string& text,
                                                                     const std::string& path);

/// \brief Builds the body of POST /admin/v1/catalogue.
[[nodiscard]] std::string ChangeBody(const std::string& changeId,
                                     const std::string& operatorName,
                                     std::span<const CatalogueWrite> writes);

/// \brief Whether a committed change from the history wrote the same entries.
[[nodiscard]] bool IsSameChange(const boost::json::object& change,
                                std::span<const CatalogueWrite> writes);

} // namespace gooseberrysail::impl
