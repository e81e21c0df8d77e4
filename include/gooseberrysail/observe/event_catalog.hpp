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

/// \brief One kind of event; docs/EVENTS.md is generated from these entries.
struct EventInfo
{
  std::uint32_t number = 0;
  std::string_view name; ///< As in EventNumber, without the `k`.
  EventLevel level = EventLevel::kInfo;
  std::string_view fields;  ///< Names of its fields, separated by spaces.
  std::string_view meaning; ///< What happened and what the operator should do, if anything.
};

/// \brief Numbers of all events. Each `events/*.def` file has a range of a hundred numbers of its
/// own. An event is declared as EVENT(Name, number, level, "field names", "meaning").
enum class EventNumber : std::uint32_t
{
#define EVENT(name, number, level, fields, meaning) k##name = (number),
#include "gooseberrysail/observe/events/all.def"
#undef EVENT
};

/// \brief All events, ordered by number.
[[nodiscard]] std::span<const EventInfo> AllEvents() noexcept;

/// \returns The event with this number, or null.
[[nodiscard]] const EventInfo* FindEvent(std::uint32_t number) noexcept;

} // namespace gooseberrysail
