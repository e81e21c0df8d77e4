#pragma once

#include "gooseberrysail/catalogue/entry.hpp"
#include "gooseberrysail/core/result.hpp"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <wire_generated.h>

/// \file The JSON form of catalogue entries, used in operators' files, the admin API and the log.
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

/// \brief Parses and validates an entry in the form that operators write.
/// \returns The item with a canonical specification, which has all fields in a fixed order. The
/// error lists every invalid field with its value and the allowed values.
[[nodiscard]] Result<wire::CatalogueItemT> ParseItemJson(const boost::json::value& json);

/// \brief Returns the form that operators read: all fields, and `revision` and `version`.
[[nodiscard]] boost::json::object ItemToJson(const wire::CatalogueItemT& item);

/// \brief Unpacks a stored item.
/// \remarks Unknown fields are skipped. During an upgrade a newer control process may write some;
/// if they were rejected, this process would receive no more changes.
[[nodiscard]] Result<CatalogueEntry> ParseEntry(const wire::CatalogueItemT& item);

/// \brief Packs an entry; the inverse of ParseEntry.
[[nodiscard]] wire::CatalogueItemT PackEntry(const CatalogueEntry& entry);

} // namespace gooseberrysail
