#pragma once

#include "gooseberrysail/entry/caller_answer.hpp"
#include "gooseberrysail/entry/entry_context.hpp"
#include "gooseberrysail/entry/output_order.hpp"

namespace gooseberrysail::impl {

/// \brief Passes a fresh part of the target's answer on to the caller and keeps it for the claim.
void ForwardOutput(EntryContext& context,
                   Request& request,
                   const FittedOutput& fitted,
                   const wire::OutputT& output);

/// \brief Ends the caller's answer with an error: as a whole answer while nothing was sent, else so
/// that the caller can see that the answer isn't whole.
void TellError(EntryContext& context, Request& request, const CallerError& error);

} // namespace gooseberrysail::impl
