#include "gooseberrysail/observe/event_reference.hpp"

#include "gooseberrysail/observe/event_catalog.hpp"
#include "gooseberrysail/observe/event_line.hpp"

#include <algorithm>
#include <array>
#include <cstddef>

namespace gooseberrysail {

namespace {

constexpr std::uint32_t kNumbersInSection = 100;

constexpr std::array<std::string_view, 8> kSections{
  "", "Process", "Peers and HTTP", "Entry", "Agent", "Control", "Replicated log", "Storage"
};

std::string FieldsOf(const EventInfo& event)
{
  std::string fields;
  std::string_view rest = event.fields;
  while (!rest.empty()) {
    const auto end = std::min(rest.find(' '), rest.size());
    fields += (fields.empty() ? "`" : ", `") + std::string(rest.substr(0, end)) + "`";
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return fields;
}

constexpr std::string_view kIntroduction =
  "# Events\n"
  "\n"
  "Every event is one log line and one entry of the time line:\n"
  "\n"
  "    2026-12-02T18:53:27.120Z info 101 ProcessStopping process=entry-1 inFlight=12\n"
  "\n"
  "that is time, level, number, name, process and fields. A value is quoted, and escaped as in "
  "JSON,\n"
  "when it is empty or holds a space, a quote, a backslash, an equals sign or a control "
  "character.\n"
  "Levels: `debug` (each step of a request), `info` (normal change), `warning` (something failed "
  "and\n"
  "is being dealt with), `error` (an operator should look).\n"
  "\n"
  "This page is written by `gooseberrysail docs events` from the catalogue that the code uses.\n";

} // namespace

std::string EventsReference()
{
  std::string page(kIntroduction);
  std::size_t section = 0;
  for (const EventInfo& event : AllEvents()) {
    const std::size_t own = event.number / kNumbersInSection;
    if (own != section) {
      section = own;
      page += "\n## " + std::string(kSections.at(section)) + "\n\n";
      page += "| number | event | level | fields | meaning |\n";
      page += "|---|---|---|---|---|\n";
    }
    page += "| " + std::to_string(event.number) + " | `" + std::string(event.name) + "` | " +
            ToString(event.level) + " | " + FieldsOf(event) + " | " + std::string(event.meaning) +
            " |\n";
  }
  return page;
}

} // namespace gooseberrysail
