#pragma once

#include "gooseberrysail/entry/caller_answer.hpp"
#include "gooseberrysail/entry/entry_context.hpp"
#include "gooseberrysail/entry/reassembled_output.hpp"

namespace gooseberrysail::impl {

/// \brief Forwards new output of the target to the caller and, for a keyed request, captures it for
/// the claim.
void ForwardOutput(EntryContext& context,
                   Request& request,
                   const ReassembledOutput& reassembled,
                   const wire::OutputT& output);

/// \brief Ends the caller's answer with an error. Sends a complete error answer while no headers
/// were sent; otherwise aborts the connection, after an error event in an event stream, so that the
/// caller can detect that the answer is incomplete.
void SendError(EntryContext& context, Request& request, const CallerError& error);

} // namespace gooseberrysail::impl
