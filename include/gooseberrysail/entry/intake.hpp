#pragma once

#include "gooseberrysail/entry/caller_api.hpp"
#include "gooseberrysail/entry/entry_context.hpp"
#include "gooseberrysail/entry/request_lookups.hpp"

namespace gooseberrysail::impl {

/// \brief Validates, authenticates and admits a caller's request: answers it, or starts to serve
/// it.
void OnHttpRequest(EntryContext& context, RequestLookups& lookups, const HttpRequestIn& http);

} // namespace gooseberrysail::impl
