#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

/// \file Lenient reading of admin answers for display: what is missing shows as an empty cell, so
/// that the tool still works against a control process of a neighbouring version.

namespace gooseberrysail::impl {

/// \brief Text as it is, numbers in decimal, lists joined by commas, null and missing as "".
[[nodiscard]] std::string CellOf(const boost::json::value* value);

[[nodiscard]] std::string CellAt(const boost::json::object& object, std::string_view key);

/// \brief Milliseconds since 1970 as a time; "" when missing or 0.
[[nodiscard]] std::string TimeAt(const boost::json::object& object, std::string_view key);

/// \brief Milliseconds as seconds: `1.25s`; "" when missing.
[[nodiscard]] std::string AgeAt(const boost::json::object& object, std::string_view key);

/// \brief The list of objects under `key`; members of another type are left out.
[[nodiscard]] std::vector<const boost::json::object*> ObjectsAt(const boost::json::object& object,
                                                                std::string_view key);

/// \brief The object itself; an empty one for any other value.
[[nodiscard]] const boost::json::object& AsObject(const boost::json::value& value);

/// \brief The object under `key`, or an empty one.
[[nodiscard]] const boost::json::object& ObjectAt(const boost::json::object& object,
                                                  std::string_view key);

} // namespace gooseberrysail::impl
