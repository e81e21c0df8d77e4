#pragma once

#include "gooseberrysail/entry/caller_answer.hpp"
#include "gooseberrysail/entry/entry_context.hpp"

#include <string_view>

namespace gooseberrysail::impl {

/// \brief Ends a request whose complete answer arrived, and removes it from the table.
void EndCompleted(EntryContext& context, Request& request);

/// \brief Ends a request that is certain never to run, and removes it from the table.
/// \remarks Only for requests that were sent to no agent, or whose attempts were all refused or
/// sealed.
void EndNotRun(EntryContext& context, Request& request, CallerError error);

/// \brief Ends a request that ran or may have run and whose outcome can't be learnt any more, and
/// removes it from the table.
void EndCut(EntryContext& context, Request& request, std::string_view why);

/// \brief Answers the caller with outcome `cut` at once; keeps the request until its real outcome
/// is known or a time limit passes.
void AnswerCutAndResolve(EntryContext& context, Request& request, std::string_view why);

/// \brief Ends a request that was not sent because another request holds its idempotency key; the
/// caller was answered with the state or the answer of that one.
/// \param ofHolder What the caller was told; recorded, as the key's work may have run.
void EndAsDuplicate(EntryContext& context,
                    Request& request,
                    Outcome ofHolder,
                    std::string_view why);

/// \brief Records the end of the current attempt and reports its result to the router.
void CloseAttempt(EntryContext& context,
                  Request& request,
                  AttemptResult result,
                  std::string_view detail);

/// \brief The error sent to a caller whose answer is incomplete.
[[nodiscard]] CallerError CutError(const Request& request, std::string_view why);

} // namespace gooseberrysail::impl
