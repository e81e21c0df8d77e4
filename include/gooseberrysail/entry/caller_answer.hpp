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

/// \brief An error answer that this entry makes itself, as opposed to one of a target.
struct CallerError
{
  unsigned status = 500;
  Outcome outcome = Outcome::kNotRun;
  std::string_view type; ///< Such as `invalid_request`.
  std::string reason;
  std::string message;                ///< One sentence for a human reader.
  std::optional<Duration> retryAfter; ///< Set when a retry can succeed.
  RequestId holder;                   ///< The request that holds the same idempotency key.
};

/// \brief `{"error":{"message","type","outcome","reason","requestId"}}`.
[[nodiscard]] std::string ErrorBody(const CallerError& error, const RequestId& request);

/// \brief Makes a complete error answer, with `X-Request-Id` and `Retry-After`.
[[nodiscard]] HttpAnswerOut MakeErrorAnswer(ExchangeId exchange,
                                            const CallerError& error,
                                            const RequestId& request);

/// \brief Makes a complete JSON answer.
[[nodiscard]] HttpAnswerOut MakeJsonAnswer(ExchangeId exchange,
                                           unsigned status,
                                           std::string body,
                                           const RequestId& request);

/// \brief Makes the last event of a streamed answer that was cut. Without it, a client that treats
/// a closed connection as the end of the stream would use an incomplete answer.
[[nodiscard]] std::string StreamErrorEvent(const CallerError& error, const RequestId& request);

/// \brief The target's headers to pass on, without hop-by-hop headers, and `X-Request-Id`.
[[nodiscard]] std::vector<HttpHeader> AnswerHeaders(
  const std::vector<std::unique_ptr<wire::HeaderT>>& headers,
  const RequestId& request);

/// \brief A request's record as JSON.
[[nodiscard]] std::string RecordJson(const wire::RequestRecordT& record);

} // namespace gooseberrysail
