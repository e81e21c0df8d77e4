#include "gooseberrysail/observe/event_line.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>

namespace gooseberrysail {

namespace {

bool IsPlain(char byte) noexcept
{
  return byte > ' ' && byte != '"' && byte != '\\' && byte != '=' && byte != '\x7f';
}

void AppendEscaped(std::string& text, char byte)
{
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  switch (byte) {
    case '"':
      text += "\\\"";
      return;
    case '\\':
      text += "\\\\";
      return;
    case '\n':
      text += "\\n";
      return;
    case '\r':
      text += "\\r";
      return;
    case '\t':
      text += "\\t";
      return;
    default:
      break;
  }
  const auto code = static_cast<unsigned char>(byte);
  if (code < ' ' || code == 0x7f) {
    text += "\\u00";
    text += kHexDigits[code >> 4U];
    text += kHexDigits[code & 0xfU];
    return;
  }
  text += byte;
}

} // namespace

const char* ToString(EventLevel level) noexcept
{
  switch (level) {
    case EventLevel::kDebug:
      return "debug";
    case EventLevel::kInfo:
      return "info";
    case EventLevel::kWarning:
      return "warning";
    case EventLevel::kError:
      return "error";
  }
  return "unknown";
}

std::string FormatWallTime(WallMillis time)
{
  using namespace std::chrono;
  const sys_time<milliseconds> moment{ milliseconds(time) };
  const auto day = floor<days>(moment);
  const year_month_day date{ day };
  const hh_mm_ss clock{ moment - day };
  std::array<char, 48> text{};
  const int length = std::snprintf(text.data(),
                                   text.size(),
                                   "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ",
                                   static_cast<int>(date.year()),
                                   static_cast<unsigned>(date.month()),
                                   static_cast<unsigned>(date.day()),
                                   static_cast<int>(clock.hours().count()),
                                   static_cast<int>(clock.minutes().count()),
                                   static_cast<int>(clock.seconds().count()),
                                   static_cast<int>(clock.subseconds().count()));
  return { text.data(), static_cast<std::size_t>(length) };
}

// Some field values come from callers, such as headers and names in requests. Without escaping, a
// line break in a value could forge a log line; with it, each event is exactly one line.
std::string EscapeFieldValue(std::string_view value)
{
  if (!value.empty() && std::ranges::all_of(value, IsPlain)) {
    return std::string(value);
  }
  std::string text = "\"";
  for (const char byte : value) {
    AppendEscaped(text, byte);
  }
  return text + "\"";
}

std::string FormatFields(const std::vector<std::pair<std::string, std::string>>& fields)
{
  std::string text;
  for (const auto& [name, value] : fields) {
    text += (text.empty() ? "" : " ") + name + "=" + EscapeFieldValue(value);
  }
  return text;
}

std::string FormatEventLine(const EventOut& event, WallMillis time, const ProcessId& process)
{
  const EventInfo* info = FindEvent(event.number);
  std::string line = FormatWallTime(time);
  line += " ";
  line += ToString(info != nullptr ? info->level : EventLevel::kError);
  line += " " + std::to_string(event.number) + " ";
  line += info != nullptr ? info->name : "UnknownEvent";
  line += " process=" + EscapeFieldValue(process.Get());
  const std::string fields = FormatFields(event.fields);
  return fields.empty() ? line : line + " " + fields;
}

} // namespace gooseberrysail
