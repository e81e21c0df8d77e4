#pragma once

#include "gooseberrysail/entry/entry_context.hpp"

#include <string_view>
#include <wire_generated.h>

namespace gooseberrysail::impl {

/// \brief Time without frames of an attempt after which its agent is probed, in case a frame was
/// lost without an error.
inline constexpr Duration kProbeInterval = std::chrono::seconds(5);

/// \brief Sends the first attempt of a request, or ends the request as not run when no group can
/// take it.
void StartFirstAttempt(EntryContext& context, Request& request);

/// \brief Handles an attempt that is certain never to start: sends another one, or ends the request
/// as not run.
void OnNeverStarted(EntryContext& context,
                    Request& request,
                    std::string_view why,
                    Duration retryAfter);

void OnRefused(EntryContext& context, const ProcessId& from, const wire::RefusedT& refused);
void OnOutput(EntryContext& context, const ProcessId& from, const wire::OutputT& output);

/// \brief Finds the request whose current attempt is `attempt` at the agent `from`; null when there
/// is none.
[[nodiscard]] Request* FindAttempt(EntryContext& context,
                                   const ProcessId& from,
                                   std::string_view request,
                                   std::uint32_t attempt);

/// \brief Requests the answer from the agent from the first missing byte on.
void SendResume(EntryContext& context, Request& request);
/// \brief Asks the agent to seal the attempt, so that it can never start.
void SendSeal(EntryContext& context, Request& request);
void SendCancel(EntryContext& context, Request& request, std::string_view why);

/// \brief Acknowledges the output received in this tick with one frame per attempt.
void FlushAcks(EntryContext& context);

} // namespace gooseberrysail::impl
