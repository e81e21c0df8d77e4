#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/entry/outcome.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief An answer that is the system's own, not a target's.
struct CallerError
{
  unsigned status = 500;
  Outcome outcome = Outcome::kNotRun;
  std::string_view type; ///< Such as `invalid_request`.
  std::string reason;
  std::string message;                ///< One sentence for a person.
  std::optional<Duration> retryAfter; ///< Where a retry can help.
  RequestId holder;                   ///< The request that holds the same idempotency key.
};

/// \brief `{"error":{"message","type","outcome","reason","requestId"}}`.
[[nodiscard]] std::string ErrorBody(const CallerError& error, const RequestId& request);

/// \brief The whole error answer, with `X-Request-Id` and `Retry-After`.
[[nodiscard]] HttpAnswerOut MakeErrorAnswer(ExchangeId exchange,
                                            const CallerError& error,
                                            const RequestId& request);

/// \brief A whole JSON answer of the system's own.
[[nodiscard]] HttpAnswerOut MakeJsonAnswer(ExchangeId exchange,
                                           unsigned status,
                                           std::string body,
                                           const RequestId& request);

/// \brief The last event of a streamed answer that was cut: without it, a client that takes the
/// closed connection for the end of the stream would use half an answer.
[[nodiscard]] std::string CutStreamEvent(const CallerError& error, const RequestId& request);

/// \brief A target's headers as the caller gets them.
[[nodiscard]] std::vector<HttpHeader> AnswerHeaders(
  const std::vector<std::unique_ptr<wire::HeaderT>>& headers,
  const RequestId& request);

/// \brief A record for people and programs.
[[nodiscard]] std::string RecordJson(const wire::RequestRecordT& record);

} // namespace gooseberrysail
