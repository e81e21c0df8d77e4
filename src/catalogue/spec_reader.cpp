#include "spec_reader.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <cctype>
#include <cmath>
#include <optional>
#include <sstream>

namespace gooseberrysail::impl {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxNameLength = 100;
constexpr std::size_t kHashLength = 64;
constexpr std::size_t kMaxListLength = 10'000;
constexpr std::size_t kMaxShownLength = 100;
constexpr std::size_t kMaxPathPrefixLength = 1'000;

bool IsAlphanumeric(char letter) noexcept
{
  return std::isalnum(static_cast<unsigned char>(letter)) != 0;
}

std::string RangeText(std::string_view what, const std::string& low, const std::string& high)
{
  return std::string(what) + " from " + low + " to " + high;
}

std::string RealText(double value)
{
  std::ostringstream text;
  text << value;
  return text.str();
}

/// \returns The number if it is an integer within the range.
std::optional<std::int64_t> IntegerInRange(const json::value& value,
                                           std::int64_t low,
                                           std::int64_t high)
{
  std::int64_t number = 0;
  if (value.is_int64()) {
    number = value.get_int64();
  } else if (value.is_uint64() && value.get_uint64() <= INT64_MAX) {
    number = static_cast<std::int64_t>(value.get_uint64());
  } else {
    return std::nullopt;
  }
  return number >= low && number <= high ? std::optional(number) : std::nullopt;
}

std::optional<double> AsReal(const json::value& value)
{
  if (value.is_double()) {
    return value.get_double();
  }
  if (value.is_int64()) {
    return static_cast<double>(value.get_int64());
  }
  if (value.is_uint64()) {
    return static_cast<double>(value.get_uint64());
  }
  return std::nullopt;
}

bool IsValidHash(std::string_view text) noexcept
{
  return text.size() == kHashLength && std::all_of(text.begin(), text.end(), [](char letter) {
           return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f');
         });
}

std::string_view View(const json::string& text) noexcept
{
  return { text.data(), text.size() };
}

/// \brief Returns integral values as integers, so that each value has only one form.
json::value CanonicalReal(double value)
{
  constexpr double kMaxExactInteger = 9007199254740992.0; // 2^53
  if (std::floor(value) == value && std::abs(value) < kMaxExactInteger) {
    return static_cast<std::int64_t>(value);
  }
  return value;
}

std::optional<NonRepeatableCall> ReadCall(const json::value& value)
{
  const json::object* object = value.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  NonRepeatableCall call;
  for (const auto& field : *object) {
    const json::string* text = field.value().if_string();
    if (text == nullptr) {
      return std::nullopt;
    }
    if (field.key() == "method") {
      call.method = std::string(View(*text));
    } else if (field.key() == "pathPrefix") {
      call.pathPrefix = std::string(View(*text));
    } else {
      return std::nullopt;
    }
  }
  const bool validMethod = std::all_of(call.method.begin(), call.method.end(), [](char letter) {
    return letter >= 'A' && letter <= 'Z';
  });
  const bool validPath =
    call.pathPrefix.empty() ||
    (call.pathPrefix.front() == '/' && call.pathPrefix.size() <= kMaxPathPrefixLength);
  return validMethod && validPath ? std::optional(std::move(call)) : std::nullopt;
}

} // namespace

bool IsValidName(std::string_view text) noexcept
{
  return !text.empty() && text.size() <= kMaxNameLength && IsAlphanumeric(text.front()) &&
         std::all_of(text.begin(), text.end(), [](char letter) {
           return IsAlphanumeric(letter) || letter == '.' || letter == '_' || letter == '-';
         });
}

void ValidationErrors::Add(std::string_view field,
                           const json::value& value,
                           std::string_view allowed)
{
  std::string shown = json::serialize(value);
  if (shown.size() > kMaxShownLength) {
    shown.resize(kMaxShownLength);
    shown += "...";
  }
  m_lines.push_back(std::string(field) + " is " + shown + ", allowed: " + std::string(allowed));
}

void ValidationErrors::AddMissing(std::string_view field, std::string_view allowed)
{
  m_lines.push_back(std::string(field) + " is missing, allowed: " + std::string(allowed));
}

std::string ValidationErrors::Text() const
{
  std::string text;
  for (const std::string& line : m_lines) {
    text += text.empty() ? line : "; " + line;
  }
  return text;
}

const json::value* SpecReader::Find(std::string_view field)
{
  m_known.emplace(field);
  return m_json.if_contains(json::string_view(field.data(), field.size()));
}

void SpecReader::AddError(std::string_view field,
                          const json::value& value,
                          std::string_view allowed)
{
  m_errors.Add(m_prefix + std::string(field), value, allowed);
}

void SpecReader::RequiredText(std::string_view field, std::string& target, std::size_t maxLength)
{
  const std::string allowed = RangeText("text of", "1", std::to_string(maxLength) + " characters");
  const json::value* value = Find(field);
  if (value == nullptr) {
    m_errors.AddMissing(m_prefix + std::string(field), allowed);
    return;
  }
  const json::string* text = value->if_string();
  if (text == nullptr || text->empty() || text->size() > maxLength) {
    AddError(field, *value, allowed);
    return;
  }
  target = std::string(View(*text));
}

void SpecReader::Hash(std::string_view field, std::string& target)
{
  constexpr std::string_view kAllowed = "the SHA-256 of the token as 64 lower-case hex digits";
  const json::value* value = Find(field);
  if (value == nullptr) {
    m_errors.AddMissing(m_prefix + std::string(field), kAllowed);
    return;
  }
  const json::string* text = value->if_string();
  if (text == nullptr || !IsValidHash(View(*text))) {
    AddError(field, *value, kAllowed);
    return;
  }
  target = std::string(View(*text));
}

void SpecReader::Number(std::string_view field, std::uint32_t& target, Range<std::uint32_t> range)
{
  const json::value* value = Find(field);
  if (value == nullptr) {
    return;
  }
  const auto number = IntegerInRange(*value, range.low, range.high);
  if (!number) {
    AddError(field,
             *value,
             RangeText("a whole number", std::to_string(range.low), std::to_string(range.high)));
    return;
  }
  target = static_cast<std::uint32_t>(*number);
}

void SpecReader::Real(std::string_view field, double& target, Range<double> range)
{
  const json::value* value = Find(field);
  if (value == nullptr) {
    return;
  }
  const auto number = AsReal(*value);
  if (!number || !(*number >= range.low && *number <= range.high)) {
    AddError(field, *value, RangeText("a number", RealText(range.low), RealText(range.high)));
    return;
  }
  target = *number;
}

void SpecReader::Millis(std::string_view field, Duration& target, Range<Duration> range)
{
  const json::value* value = Find(field);
  if (value == nullptr) {
    return;
  }
  const std::int64_t low = ToMillis(range.low);
  const std::int64_t high = ToMillis(range.high);
  const auto number = IntegerInRange(*value, low, high);
  if (!number) {
    AddError(field, *value, RangeText("milliseconds", std::to_string(low), std::to_string(high)));
    return;
  }
  target = std::chrono::milliseconds(*number);
}

void SpecReader::Flag(std::string_view field, bool& target)
{
  const json::value* value = Find(field);
  if (value == nullptr) {
    return;
  }
  if (!value->is_bool()) {
    AddError(field, *value, "true or false");
    return;
  }
  target = value->get_bool();
}

void SpecReader::Names(std::string_view field, std::vector<std::string>& target)
{
  const json::value* value = Find(field);
  if (value == nullptr) {
    return;
  }
  const json::array* list = value->if_array();
  const bool valid = list != nullptr && list->size() <= kMaxListLength &&
                     std::all_of(list->begin(), list->end(), [](const json::value& name) {
                       return name.is_string() && IsValidName(View(name.get_string()));
                     });
  if (!valid) {
    AddError(field, *value, "a list of names, each " + std::string(kNameRule));
    return;
  }
  target.clear();
  for (const json::value& name : *list) {
    target.emplace_back(View(name.get_string()));
  }
}

void SpecReader::Calls(std::string_view field, std::vector<NonRepeatableCall>& target)
{
  constexpr std::string_view kAllowed =
    "a list of {\"method\": upper-case letters or \"\", "
    "\"pathPrefix\": \"\" or \"/...\" of up to 1000 characters}";
  const json::value* value = Find(field);
  if (value == nullptr) {
    return;
  }
  const json::array* list = value->if_array();
  if (list == nullptr || list->size() > kMaxListLength) {
    AddError(field, *value, kAllowed);
    return;
  }
  std::vector<NonRepeatableCall> calls;
  for (const json::value& item : *list) {
    auto call = ReadCall(item);
    if (!call) {
      AddError(field, item, kAllowed);
      return;
    }
    calls.push_back(std::move(*call));
  }
  target = std::move(calls);
}

void SpecReader::RejectUnknown()
{
  std::string known;
  for (const std::string& field : m_known) {
    known += known.empty() ? field : ", " + field;
  }
  for (const auto& field : m_json) {
    const std::string_view key(field.key().data(), field.key().size());
    if (!m_known.contains(key)) {
      AddError(key, field.value(), "no such field; known are " + known);
    }
  }
}

void SpecWriter::RequiredText(std::string_view field, const std::string& value, std::size_t)
{
  m_json[field] = value;
}

void SpecWriter::Hash(std::string_view field, const std::string& value)
{
  m_json[field] = value;
}

void SpecWriter::Number(std::string_view field, std::uint32_t value, Range<std::uint32_t>)
{
  m_json[field] = value;
}

void SpecWriter::Real(std::string_view field, double value, Range<double>)
{
  m_json[field] = CanonicalReal(value);
}

void SpecWriter::Millis(std::string_view field, Duration value, Range<Duration>)
{
  m_json[field] = ToMillis(value);
}

void SpecWriter::Flag(std::string_view field, bool value)
{
  m_json[field] = value;
}

void SpecWriter::Names(std::string_view field, const std::vector<std::string>& value)
{
  json::array list;
  for (const std::string& name : value) {
    list.emplace_back(name);
  }
  m_json[field] = std::move(list);
}

void SpecWriter::Calls(std::string_view field, const std::vector<NonRepeatableCall>& value)
{
  json::array list;
  for (const NonRepeatableCall& call : value) {
    list.emplace_back(json::object{ { "method", call.method }, { "pathPrefix", call.pathPrefix } });
  }
  m_json[field] = std::move(list);
}

} // namespace gooseberrysail::impl
