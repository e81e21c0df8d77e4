#pragma once

#include "gooseberrysail/gateway/gateway_api.hpp"

#include <string>

namespace gooseberrysail::tests {

/// \brief Hooks with simple headers: Key, Left (milliseconds), Instance, Never-Ran, Seal,
/// Limit, Backoff (milliseconds), Leaving, After, Urgency, Prompt and Output (tokens), Part (one
/// for each shared part of the prompt).
inline GatewayApi PlainApi()
{
  GatewayApi api;
  api.decodeCall = [](HttpRequestIn in) -> Result<GatewayCall> {
    GatewayCall call;
    call.exchange = in.exchange;
    call.requestId = FindHeader(in.headers, "X-Request-Id");
    if (call.requestId.empty()) {
      return Error{ ErrorCode::kInvalid, "decode", "", "no id" };
    }
    call.method = in.method;
    call.target = in.target;
    call.host = FindHeader(in.headers, "Host");
    call.key = FindHeader(in.headers, "Key");
    call.model = FindHeader(in.headers, "Model");
    if (const std::string_view left = FindHeader(in.headers, "Left"); !left.empty()) {
      call.timeLeft = std::chrono::milliseconds(std::stoll(std::string(left)));
    }
    const auto number = [&](std::string_view name, std::uint32_t otherwise) {
      const std::string text(FindHeader(in.headers, name));
      return text.empty() ? otherwise : static_cast<std::uint32_t>(std::stoul(text));
    };
    call.promptTokens = number("Prompt", 100);
    call.maxOutputTokens = 365;
    call.expectedOutputTokens = number("Output", 50);
    call.body = in.body;
    call.headers = in.headers;
    for (const HttpHeader& header : in.headers) {
      if (header.name == "Part") {
        call.sharedPromptParts.push_back(header.value);
      }
    }
    return call;
  };
  api.encodeAttempt = [](const TargetAttempt& attempt) {
    TargetCallOut call;
    call.exchange = attempt.exchange;
    call.method = attempt.call.method;
    call.path = attempt.call.target;
    call.address = attempt.target.address;
    call.body = attempt.call.body;
    call.headers = { { "X-Request-Id", attempt.call.requestId },
                     { "Instance", attempt.target.instance.Get() },
                     { "Workspace", std::string(attempt.workspace) },
                     { "Left", std::to_string(ToMillis(attempt.timeLeft)) } };
    for (const std::string& part : attempt.call.sharedPromptParts) {
      call.headers.push_back({ "Part", part });
    }
    for (const HttpHeader& header : attempt.call.headers) {
      if (header.name == "Prompt" || header.name == "Output") {
        call.headers.push_back(header);
      }
    }
    if (attempt.urgency) {
      call.headers.push_back({ "Urgency", std::to_string(*attempt.urgency) });
    }
    if (attempt.resumeAfter) {
      call.headers.push_back({ "After", *attempt.resumeAfter });
    }
    return call;
  };
  api.answeredId = [](const TargetAnswerIn& part) {
    return FindHeader(part.headers, "X-Request-Id");
  };
  api.decodeHead = [](const TargetAnswerIn& part) {
    TargetHead head;
    head.status = *part.status;
    head.statesNotRun = !FindHeader(part.headers, "Never-Ran").empty();
    head.isProven = !FindHeader(part.headers, "Seal").empty();
    if (const std::string_view limit = FindHeader(part.headers, "Limit"); !limit.empty()) {
      head.requestLimit = std::stod(std::string(limit));
    }
    if (const std::string_view backoff = FindHeader(part.headers, "Backoff"); !backoff.empty()) {
      head.retryAfter = std::chrono::milliseconds(std::stoll(std::string(backoff)));
    }
    head.isLeaving = !FindHeader(part.headers, "Leaving").empty();
    head.headers = part.headers;
    return head;
  };
  return api;
}

} // namespace gooseberrysail::tests
