#pragma once

#include "gooseberrysail/admission/urgency.hpp"
#include "gooseberrysail/roles/inputs.hpp"
#include "gooseberrysail/serving/document.hpp"
#include "gooseberrysail/serving/served_target.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file The parts of a caller's request and of a target's answer that a gateway uses, and the
/// hooks that convert them from and to HTTP.

namespace gooseberrysail {

/// \brief A caller's request.
struct GatewayCall
{
  ExchangeId exchange;
  std::string method;
  std::string target; ///< Path and query, forwarded unchanged.
  std::string host;
  std::string requestId;            ///< Chosen by the caller for each of its attempts.
  std::optional<Duration> timeLeft; ///< The caller's timeout.
  std::string key;                  ///< "" when absent. Never logged, never forwarded.
  std::string model;                ///< "" when absent.
  std::uint32_t promptTokens = 0;
  std::uint32_t maxOutputTokens = 0;
  std::uint32_t expectedOutputTokens = 0; ///< The caller's estimate; 0 for none.
  /// Ids of the parts of the prompt that other requests may share, from its start on.
  std::vector<std::string> sharedPromptParts;
  std::vector<HttpHeader> headers; ///< Forwarded to the target unchanged.
  std::string body;
};

/// \brief One attempt to run a call at a target.
struct TargetAttempt
{
  ExchangeId exchange; ///< Of the call to the target.
  const GatewayCall& call;
  const ServedTarget& target;
  Duration timeLeft{};
  std::string_view workspace;             ///< "" for public routes without a key.
  std::optional<std::string> resumeAfter; ///< Id of the last event sent to the caller.
  std::optional<Urgency> urgency =
    std::nullopt; ///< Set where the service's requests differ in it; 0 is first.
};

/// \brief The head of a target's answer.
struct TargetHead
{
  unsigned status = 0;
  bool statesNotRun = false; ///< The target states that it did not run the request.
  bool isProven = false;     ///< Has the target's seal.
  /// The requests a second that the target takes from all entries together.
  std::optional<double> requestLimit;
  bool hasInvalidLimit = false; ///< It names a limit that is no such number.
  /// How long the target wants no requests from this entry; only with status 503.
  std::optional<Duration> retryAfter;
  bool hasInvalidRetryAfter = false; ///< It names a time that is no such number.
  bool isLeaving = false;            ///< The target says that it is about to shut down.
  std::vector<HttpHeader> headers;   ///< To forward to the caller.

  /// \brief Whether the request is certain not to have run.
  /// \remarks A success that states it contradicts itself.
  [[nodiscard]] bool HasNotRun() const noexcept
  {
    constexpr unsigned kFirstFailure = 400;
    return statesNotRun && status >= kFirstFailure;
  }
};

/// \brief Hooks that convert between HTTP and the types above; all must be set.
struct GatewayApi
{
  std::function<Result<GatewayCall>(HttpRequestIn)> decodeCall;
  std::function<TargetCallOut(const TargetAttempt&)> encodeAttempt;
  /// \brief The id of the request that the first part of an answer names; "" for none. The view is
  /// valid as long as the part.
  std::function<std::string_view(const TargetAnswerIn&)> answeredId;
  std::function<TargetHead(const TargetAnswerIn&)> decodeHead;
  DocumentReader readDocument;
};

} // namespace gooseberrysail
