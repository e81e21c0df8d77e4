#pragma once

#include "gooseberrysail/entry/caller_api.hpp"
#include "gooseberrysail/entry/entry_context.hpp"
#include "gooseberrysail/entry/request_lookups.hpp"

namespace gooseberrysail::impl {

/// \brief Answers a caller's request or turns it into one in flight.
void OnHttpRequest(EntryContext& context, RequestLookups& lookups, const HttpRequestIn& http);

} // namespace gooseberrysail::impl
