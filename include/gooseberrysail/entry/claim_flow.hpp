#pragma once

#include "gooseberrysail/entry/entry_context.hpp"

#include <wire_generated.h>

namespace gooseberrysail::impl {

/// \brief Asks control for the right to run a keyed request; nothing leaves before it is granted.
void AskClaim(EntryContext& context, Request& request);

/// \brief Runs the request, or answers what became of the run that holds its key.
void OnClaimReply(EntryContext& context, const wire::ClaimReplyT& reply);

} // namespace gooseberrysail::impl
