#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace gooseberrysail {

enum class EventLevel
{
  kDebug,
  kInfo,
  kWarning,
  kError,
};

/// \brief One kind of event; docs/EVENTS.md is generated from these.
struct EventInfo
{
  std::uint32_t number = 0;
  std::string_view name; ///< The C++ name.
  EventLevel level = EventLevel::kInfo;
  std::string_view fields;  ///< Names of its fields, separated by spaces.
  std::string_view meaning; ///< What happened and, where an operator must act, what to do.
};

/// \brief Numbers of all events. Each `events/*.def` file owns a range of a hundred numbers:
/// EVENT(Name, number, level, "field names", "meaning").
enum class EventNumber : std::uint32_t
{
#define EVENT(name, number, level, fields, meaning) k##name = (number),
#include "gooseberrysail/observe/events/all.def"
#undef EVENT
};

/// \brief Every event, in order of number.
[[nodiscard]] std::span<const EventInfo> AllEvents() noexcept;

/// \returns The event of this number, or null.
[[nodiscard]] const EventInfo* FindEvent(std::uint32_t number) noexcept;

} // namespace gooseberrysail
