#pragma once

#include "gooseberrysail/entry/entry_context.hpp"

#include <string_view>
#include <wire_generated.h>

namespace gooseberrysail::impl {

/// \brief Resumes the attempts at an agent that is connected again. Attempts at an earlier
/// incarnation of the agent are cut.
void ResumeAttempts(EntryContext& context, const PeerUp& up);

/// \brief Marks the attempts at an agent as disconnected and starts to redial it.
void SuspendAttempts(EntryContext& context, const PeerDown& down);

void OnSealReply(EntryContext& context, const ProcessId& from, const wire::SealReplyT& reply);
void OnUnknownRequest(EntryContext& context,
                      const ProcessId& from,
                      const wire::UnknownRequestT& unknown);

/// \brief Handles a caller that closed its connection before the end of its answer.
void OnCallerGone(EntryContext& context, ExchangeId exchange);

/// \brief Answers all callers that still wait: with `not-run` when nothing was sent, else with
/// `cut`. What was sent is cancelled or sealed, and kept until its real outcome is known.
void AnswerAll(EntryContext& context, std::string_view why);

/// \brief Ends the keyed requests whose outcome is still awaited, and reports their claims as cut.
/// \remarks Only after AnswerAll.
void CutKeyed(EntryContext& context, std::string_view why);

/// \brief Enforces deadlines, redials agents that are disconnected and probes those that send
/// nothing.
void SweepRequests(EntryContext& context);

} // namespace gooseberrysail::impl
