#pragma once

#include "gooseberrysail/entry/entry_context.hpp"

#include <string_view>
#include <wire_generated.h>

namespace gooseberrysail::impl {

/// \brief An attempt that said nothing for this long is asked for, in case a frame was lost
/// unnoticed.
inline constexpr Duration kProbeInterval = std::chrono::seconds(5);

/// \brief Sends a request's first attempt, or ends it as not run.
void StartFirstAttempt(EntryContext& context, Request& request);

/// \brief The current attempt certainly never starts: sends another, or ends it as not run.
void OnNeverStarted(EntryContext& context,
                    Request& request,
                    std::string_view why,
                    Duration retryAfter);

void OnRefused(EntryContext& context, const ProcessId& from, const wire::RefusedT& refused);
void OnOutput(EntryContext& context, const ProcessId& from, const wire::OutputT& output);

/// \brief The request whose current attempt at `from` this is; null when it is over.
[[nodiscard]] Request* FindAttempt(EntryContext& context,
                                   const ProcessId& from,
                                   std::string_view request,
                                   std::uint32_t attempt);

/// \brief Asks the agent for the answer from where it broke off.
void SendResume(EntryContext& context, Request& request);
/// \brief Asks the agent to note that the attempt never starts.
void SendSeal(EntryContext& context, Request& request);
void SendCancel(EntryContext& context, Request& request, std::string_view why);

/// \brief Acknowledges what arrived in this tick, one frame an attempt.
void FlushAcks(EntryContext& context);

} // namespace gooseberrysail::impl
