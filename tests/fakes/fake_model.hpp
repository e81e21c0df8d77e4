#pragma once

#include "gooseberrysail/core/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrysail::fakes {

/// \brief A completion call as the common LLM APIs have it, as far as the stand-in looks at it.
struct CompletionCall
{
  std::string model;
  std::string prompt; ///< Of a chat: all messages, one a line.
  std::uint32_t maxTokens = 16;
  bool chat = false;
  bool stream = false;
};

[[nodiscard]] Result<CompletionCall> ParseCompletion(std::string_view path, std::string_view body);

/// \brief The answer's tokens; the same prompt always gets the same ones.
[[nodiscard]] std::vector<std::string> AnswerTokens(const CompletionCall& call);

[[nodiscard]] std::uint64_t PromptTokens(const CompletionCall& call);

/// \brief The JSON of a whole answer.
[[nodiscard]] std::string WholeAnswer(const CompletionCall& call,
                                      const std::vector<std::string>& tokens);

/// \brief One server-sent event with one token.
[[nodiscard]] std::string TokenEvent(const CompletionCall& call, const std::string& token);

/// \brief The last events of a stream: finish reason, usage, and `[DONE]`.
[[nodiscard]] std::string FinalEvents(const CompletionCall& call, std::size_t tokens);

} // namespace gooseberrysail::fakes
