#pragma once

#include "gooseberrysail/entry/entry_context.hpp"

#include <wire_generated.h>

namespace gooseberrysail::impl {

/// \brief Requests the claim of a keyed request from control. The request is sent to no agent
/// before the claim is granted.
void RequestClaim(EntryContext& context, Request& request);

/// \brief Starts the request when its claim is granted; otherwise answers with the state or
/// the answer of the request that holds the key.
void OnClaimReply(EntryContext& context, const wire::ClaimReplyT& reply);

} // namespace gooseberrysail::impl
