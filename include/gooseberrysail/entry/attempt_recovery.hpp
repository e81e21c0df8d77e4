#pragma once

#include "gooseberrysail/entry/entry_context.hpp"

#include <string_view>
#include <wire_generated.h>

namespace gooseberrysail::impl {

/// \brief Takes up the attempts at an agent to which a connection stands again.
void ResumeAttempts(EntryContext& context, const PeerUp& up);

/// \brief Marks the attempts at an agent whose connection is gone.
void SilenceAttempts(EntryContext& context, const PeerDown& down);

void OnSealReply(EntryContext& context, const ProcessId& from, const wire::SealReplyT& reply);
void OnUnknownRequest(EntryContext& context,
                      const ProcessId& from,
                      const wire::UnknownRequestT& unknown);

/// \brief The caller closed its connection.
void OnCallerGone(EntryContext& context, ExchangeId exchange);

/// \brief Deadlines, agents that stay away, answers that don't come.
void SweepRequests(EntryContext& context);

} // namespace gooseberrysail::impl
