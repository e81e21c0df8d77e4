#pragma once

#include <string>

namespace gooseberrysail {

/// \brief The text of docs/EVENTS.md, generated from the event catalogue.
[[nodiscard]] std::string EventsReference();

} // namespace gooseberrysail
