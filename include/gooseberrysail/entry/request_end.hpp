#pragma once

#include "gooseberrysail/entry/caller_answer.hpp"
#include "gooseberrysail/entry/entry_context.hpp"

#include <string_view>

namespace gooseberrysail::impl {

/// \brief The target's whole answer went to the caller. The request leaves the table.
void EndCompleted(EntryContext& context, Request& request);

/// \brief It certainly never ran and never will. The request leaves the table.
/// \remarks Only for requests of which no byte left, or whose attempts were all refused or sealed.
void EndNotRun(EntryContext& context, Request& request, CallerError error);

/// \brief It ran or may have run, and no more is to be found out. The request leaves the table.
void EndCut(EntryContext& context, Request& request, std::string_view why);

/// \brief The caller is told `cut` at once; the request stays until what happened is known.
void AnswerCutAndResolve(EntryContext& context, Request& request, std::string_view why);

/// \brief Answers that end a claim's waiting: they tell of another request, this one never ran.
void EndByOtherClaim(EntryContext& context, Request& request, std::string_view why);

/// \brief Notes the end of the current attempt in the record and tells the router.
void CloseAttempt(EntryContext& context,
                  Request& request,
                  AttemptResult result,
                  std::string_view detail);

/// \brief What a caller is told when its answer is not whole.
[[nodiscard]] CallerError CutError(const Request& request, std::string_view why);

} // namespace gooseberrysail::impl
