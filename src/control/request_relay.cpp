#include "gooseberrysail/control/request_relay.hpp"

namespace gooseberrysail {

namespace {

// Nonces of operators' queries count up from one; the top bit marks those of relayed queries.
constexpr std::uint64_t kRelayed = std::uint64_t{ 1 } << 63U;

} // namespace

void RequestRelay::OnQuery(ControlContext& context,
                           const ProcessId& asker,
                           const wire::RequestQueryT& query)
{
  const ProcessId holder = EntryOf(RequestId(query.request));
  const bool reachable = !holder.IsNone() && holder != asker && context.IsUp(holder);
  // Without an answer, the asking entry reports that the outcome is not known, which is correct.
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
