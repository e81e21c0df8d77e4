#pragma once

#include "gooseberrysail/core/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrysail::fakes {

/// \brief The fields of a completion call of the common LLM APIs that the fake uses.
struct CompletionCall
{
  std::string model;
  std::string prompt; ///< For a chat: all messages, one per line.
  std::uint32_t maxTokens = 16;
  bool chat = false;
  bool stream = false;
};

[[nodiscard]] Result<CompletionCall> ParseCompletion(std::string_view path, std::string_view body);

/// \brief The tokens of the answer, determined by the model, the prompt and `maxTokens`.
[[nodiscard]] std::vector<std::string> AnswerTokens(const CompletionCall& call);

[[nodiscard]] std::uint64_t PromptTokens(const CompletionCall& call);

/// \brief The JSON of an answer that is not streamed.
[[nodiscard]] std::string WholeAnswer(const CompletionCall& call,
                                      const std::vector<std::string>& tokens);

/// \brief One server-sent event with one token.
[[nodiscard]] std::string TokenEvent(const CompletionCall& call, const std::string& token);

/// \brief The last events of a stream: finish reason, usage, and `[DONE]`.
[[nodiscard]] std::string FinalEvents(const CompletionCall& call, std::size_t tokens);

} // namespace gooseberrysail::fakes
