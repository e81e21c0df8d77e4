#include "cli/json_view.hpp"

#include "gooseberrysail/core/join.hpp"
#include "gooseberrysail/observe/event_line.hpp"

#include <array>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <optional>

namespace gooseberrysail::impl {

namespace {

namespace json = boost::json;

std::optional<std::int64_t> MillisAt(const json::object& object, std::string_view key)
{
  const json::value* value = object.if_contains(key);
  const std::int64_t* number = value != nullptr ? value->if_int64() : nullptr;
  return number != nullptr ? std::optional(*number) : std::nullopt;
}

} // namespace

std::string CellOf(const json::value* value)
{
  if (value == nullptr || value->is_null()) {
    return "";
  }
  if (const json::string* text = value->if_string()) {
    return { text->data(), text->size() };
  }
  if (const json::array* list = value->if_array()) {
    return Join(*list, ",", [](const json::value& item) { return CellOf(&item); });
  }
  return json::serialize(*value);
}

std::string CellAt(const json::object& object, std::string_view key)
{
  return CellOf(object.if_contains(key));
}

std::string TimeAt(const json::object& object, std::string_view key)
{
  const auto millis = MillisAt(object, key);
  return millis.value_or(0) == 0 ? "" : FormatWallTime(*millis);
}

std::string AgeAt(const json::object& object, std::string_view key)
{
  const auto millis = MillisAt(object, key);
  if (!millis) {
    return "";
  }
  constexpr double kMillisPerSecond = 1000;
  std::array<char, 32> text{};
  const int length = std::snprintf(
    text.data(), text.size(), "%.1fs", static_cast<double>(*millis) / kMillisPerSecond);
  return { text.data(), static_cast<std::size_t>(length) };
}

std::vector<const json::object*> ObjectsAt(const json::object& object, std::string_view key)
{
  std::vector<const json::object*> objects;
  const json::value* value = object.if_contains(key);
  const json::array* list = value != nullptr ? value->if_array() : nullptr;
  if (list == nullptr) {
    return objects;
  }
  for (const json::value& item : *list) {
    if (const json::object* member = item.if_object()) {
      objects.push_back(member);
    }
  }
  return objects;
}

const json::object& AsObject(const json::value& value)
{
  static const json::object kEmpty;
  const json::object* object = value.if_object();
  return object != nullptr ? *object : kEmpty;
}

const json::object& ObjectAt(const json::object& object, std::string_view key)
{
  static const json::value kNull;
  const json::value* value = object.if_contains(key);
  return AsObject(value != nullptr ? *value : kNull);
}

} // namespace gooseberrysail::impl
