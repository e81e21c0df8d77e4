#include "gooseberrysail/control/request_relay.hpp"

namespace gooseberrysail {

namespace {

// The operators' questions count their nonces from one; a set top bit keeps the two apart.
constexpr std::uint64_t kRelayed = std::uint64_t{ 1 } << 63U;

} // namespace

void RequestRelay::OnQuery(ControlContext& context,
                           const ProcessId& asker,
                           const wire::RequestQueryT& query)
{
  const ProcessId holder = EntryOf(RequestId(query.request));
  const bool reachable = !holder.IsNone() && holder != asker && context.IsUp(holder);
  // Unanswered, the asker says that the outcome is not known here, which is the truth.
  if (!reachable || m_questions.size() >= kMaxQuestions) {
    return;
  }
  wire::RequestQueryT passedOn(query);
  passedOn.nonce = kRelayed | ++m_sequence;
  m_questions.emplace(passedOn.nonce, Question{ asker, holder, query.nonce, context.now });
  context.SendMessage(holder, std::move(passedOn));
}

bool RequestRelay::OnAnswer(ControlContext& context,
                            const ProcessId& peer,
                            const wire::RequestAnswerT& answer)
{
  if ((answer.nonce & kRelayed) == 0) {
    return false;
  }
  const auto found = m_questions.find(answer.nonce);
  if (found == m_questions.end() || found->second.holder != peer) {
    return true;
  }
  const Question question = found->second;
  m_questions.erase(found);
  wire::RequestAnswerT passedBack(answer);
  passedBack.nonce = question.nonce;
  context.SendMessage(question.asker, std::move(passedBack));
  return true;
}

void RequestRelay::Tick(const ControlContext& context)
{
  std::erase_if(m_questions,
                [&](const auto& row) { return context.now - row.second.asked >= kTimeout; });
}

} // namespace gooseberrysail
