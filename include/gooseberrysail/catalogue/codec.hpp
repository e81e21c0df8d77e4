#pragma once

#include "gooseberrysail/catalogue/entry.hpp"
#include "gooseberrysail/core/result.hpp"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <wire_generated.h>

/// \file Catalogue entries as JSON: in operators' files, on the admin API and in the log.
/// \code
/// {"kind":"model","name":"hire-assist","owner":"hire-desk","class":"interactive",
///  "spec":{"version":"2026-11","replicas":30,"defaultDeadlineMs":120000}}
/// \endcode

namespace gooseberrysail {

/// \brief The kind of a typed specification.
[[nodiscard]] wire::EntryKind KindOf(const EntrySpec& spec) noexcept;

/// \brief `model`, `service`, `workspace`, `target` or `policy`.
[[nodiscard]] std::string_view KindName(wire::EntryKind kind) noexcept;
[[nodiscard]] std::optional<wire::EntryKind> FindKind(std::string_view name) noexcept;

/// \brief `interactive`, `standard` or `batch`.
[[nodiscard]] std::string_view ClassName(PriorityClass priorityClass) noexcept;
[[nodiscard]] std::optional<PriorityClass> FindClass(std::string_view name) noexcept;

/// \brief Validates an entry as operators write it.
/// \returns The item with a canonical specification: every field, in one order. Otherwise an error
/// that names, for every fault at once, the field, its value and what is allowed.
[[nodiscard]] Result<wire::CatalogueItemT> ParseItemJson(const boost::json::value& json);

/// \brief The form that operators read: as written, with `revision` and `version`.
[[nodiscard]] boost::json::object ItemToJson(const wire::CatalogueItemT& item);

/// \brief Unpacks a stored item.
/// \remarks Fields unknown to this program are skipped: during an upgrade a newer control may
/// write some, and refusing them would cut this process off from all changes.
[[nodiscard]] Result<CatalogueEntry> ParseEntry(const wire::CatalogueItemT& item);

/// \brief Packs an entry; the inverse of ParseEntry.
[[nodiscard]] wire::CatalogueItemT PackEntry(const CatalogueEntry& entry);

} // namespace gooseberrysail
