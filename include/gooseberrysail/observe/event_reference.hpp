#pragma once

#include <string>

namespace gooseberrysail {

/// \brief docs/EVENTS.md, from the catalogue of events.
[[nodiscard]] std::string EventsReference();

} // namespace gooseberrysail
