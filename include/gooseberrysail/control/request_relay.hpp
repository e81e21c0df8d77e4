#pragma once

#include "gooseberrysail/control/context.hpp"

#include <cstdint>
#include <map>

namespace gooseberrysail {

/// \brief Passes one entry's question about a request on to the entry that took it, and the answer
/// back: entries have no connections with each other.
class RequestRelay
{
public:
  void OnQuery(ControlContext& context, const ProcessId& asker, const wire::RequestQueryT& query);

  /// \returns False when the answer is not to a relayed question.
  bool OnAnswer(ControlContext& context, const ProcessId& peer, const wire::RequestAnswerT& answer);

  /// \brief Forgets questions that were not answered in time; the asker has its own timeout.
  void Tick(const ControlContext& context);

  static constexpr Duration kTimeout = std::chrono::seconds(3);
  static constexpr std::size_t kMaxQuestions = 1024;

private:
  struct Question
  {
    ProcessId asker;
    ProcessId holder;
    std::uint64_t nonce = 0; ///< The asker's own.
    TimePoint asked{};
  };

  std::uint64_t m_sequence = 0;
  std::map<std::uint64_t, Question> m_questions; ///< By the nonce sent to the holder.
};

} // namespace gooseberrysail
