#pragma once

#include "gooseberrysail/observe/event_catalog.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <string>
#include <utility>
#include <vector>

namespace gooseberrysail {

/// \brief Builds an event for a role's outbox.
/// \code
/// outbox.push_back(MakeEvent(EventNumber::kProcessStopping, { { "inFlight", "12" } }));
/// \endcode
[[nodiscard]] inline EventOut MakeEvent(
  EventNumber number,
  std::vector<std::pair<std::string, std::string>> fields = {})
{
  return EventOut{ static_cast<std::uint32_t>(number), std::move(fields) };
}

} // namespace gooseberrysail
