#pragma once

#include "gooseberrysail/core/result.hpp"

#include <commands_generated.h>
#include <string_view>

namespace gooseberrysail::impl {

/// \brief Parses the body of POST /admin/v1/catalogue.
/// \returns The change with canonical entries, or one error that lists all faults of all writes.
[[nodiscard]] Result<wire::ChangeCatalogueT> ParseChange(std::string_view body);

} // namespace gooseberrysail::impl
