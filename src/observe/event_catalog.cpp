#include "gooseberrysail/observe/event_catalog.hpp"

#include <algorithm>
#include <array>

namespace gooseberrysail {

namespace {

constexpr auto kEvents = std::to_array<EventInfo>({
#define EVENT(name, number, level, fields, meaning)                                                \
  EventInfo{ number, #name, EventLevel::level, fields, meaning },
#include "gooseberrysail/observe/events/all.def"
#undef EVENT
});

} // namespace

std::span<const EventInfo> AllEvents() noexcept
{
  return kEvents;
}

const EventInfo* FindEvent(std::uint32_t number) noexcept
{
  const auto* found = std::lower_bound(
    kEvents.begin(), kEvents.end(), number, [](const EventInfo& event, std::uint32_t searched) {
      return event.number < searched;
    });
  return found != kEvents.end() && found->number == number ? found : nullptr;
}

} // namespace gooseberrysail
