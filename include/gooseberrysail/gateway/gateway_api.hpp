#pragma once

#include "gooseberrysail/roles/inputs.hpp"
#include "gooseberrysail/serving/document.hpp"
#include "gooseberrysail/serving/served_target.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// \file What a gateway needs to know of a caller's request and of a target's answer, and the hooks
/// that read and write the HTTP headers in which callers and targets say it.

namespace gooseberrysail {

/// \brief A caller's request.
struct GatewayCall
{
  ExchangeId exchange;
  std::string method;
  std::string target; ///< Path and query, passed on as sent.
  std::string host;
  std::string requestId;            ///< The caller's name for this attempt of its own.
  std::optional<Duration> timeLeft; ///< How long the caller will wait.
  std::string key;                  ///< "" when it shows none. Never logged, never passed on.
  std::string model;                ///< "" when it names none.
  std::uint32_t promptTokens = 0;
  std::uint32_t maxOutputTokens = 0;
  std::uint32_t expectedOutputTokens = 0; ///< The caller's estimate; 0 for none.
  std::vector<HttpHeader> headers;        ///< Those that go on to the target as sent.
  std::string body;
};

/// \brief One attempt at a target.
struct TargetAttempt
{
  ExchangeId exchange; ///< Of the call to the target.
  const GatewayCall& call;
  const ServedTarget& target;
  Duration timeLeft{};
  std::string_view workspace;             ///< "" for public routes without a key.
  std::optional<std::string> resumeAfter; ///< The last event that the caller has.
};

/// \brief The head of a target's answer.
struct TargetHead
{
  unsigned status = 0;
  std::string requestId;           ///< Which request it answers.
  bool neverRan = false;           ///< The target says that it did not run the request.
  bool isProven = false;           ///< Bears the target's seal.
  std::vector<HttpHeader> headers; ///< To pass on to the caller.
};

/// \brief Translates between HTTP and the types above; all set.
struct GatewayApi
{
  std::function<Result<GatewayCall>(HttpRequestIn)> decodeCall;
  std::function<TargetCallOut(const TargetAttempt&)> encodeAttempt;
  std::function<TargetHead(const TargetAnswerIn&)> decodeHead;
  DocumentReader readDocument;
};

} // namespace gooseberrysail
