#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

/// \file Lenient access to admin answers for display: missing values are shown as empty cells, so
/// that the tool also works with control processes of the previous or next version.

namespace gooseberrysail::impl {

/// \brief Formats a JSON value: text unchanged, lists joined by commas, null and missing as "".
[[nodiscard]] std::string CellOf(const boost::json::value* value);

[[nodiscard]] std::string CellAt(const boost::json::object& object, std::string_view key);

/// \brief Formats milliseconds since 1970 as a time; "" if missing or 0.
[[nodiscard]] std::string TimeAt(const boost::json::object& object, std::string_view key);

/// \brief Formats milliseconds as seconds with one decimal: `1.2s`; "" if missing.
[[nodiscard]] std::string AgeAt(const boost::json::object& object, std::string_view key);

/// \brief The objects in the list under `key`; elements of other types are skipped.
[[nodiscard]] std::vector<const boost::json::object*> ObjectsAt(const boost::json::object& object,
                                                                std::string_view key);

/// \brief The value as an object; an empty object if it is of another type.
[[nodiscard]] const boost::json::object& AsObject(const boost::json::value& value);

/// \brief The object under `key`, or an empty object.
[[nodiscard]] const boost::json::object& ObjectAt(const boost::json::object& object,
                                                  std::string_view key);

} // namespace gooseberrysail::impl
