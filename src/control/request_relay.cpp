#include "gooseberrysail/control/request_relay.hpp"

namespace gooseberrysail {

namespace {

// Nonces of operators' queries count up from one; the top bit marks those of relayed queries.
constexpr std::uint64_t kRelayedNonceBit = std::uint64_t{ 1 } << 63U;

} // namespace

void RequestRelay::OnQuery(ControlContext& context,
                           const ProcessId& asker,
                           const wire::RequestQueryT& query)
{
  const ProcessId holder = EntryOf(RequestId(query.request));
  const bool reachable = !holder.IsNone() && holder != asker && context.IsUp(holder);
  // Without an answer, the asking entry reports that the outcome is not known, which is correct.
  if (!reachable || m_relayedQueries.size() >= kMaxOpenQueries) {
    return;
  }
  wire::RequestQueryT forwarded(query);
  forwarded.nonce = kRelayedNonceBit | ++m_sequence;
  m_relayedQueries.emplace(forwarded.nonce,
                           RelayedQuery{ asker, holder, query.nonce, context.now });
  context.SendMessage(holder, std::move(forwarded));
}

bool RequestRelay::OnAnswer(ControlContext& context,
                            const ProcessId& peer,
                            const wire::RequestAnswerT& answer)
{
  if ((answer.nonce & kRelayedNonceBit) == 0) {
    return false;
  }
  const auto found = m_relayedQueries.find(answer.nonce);
  if (found == m_relayedQueries.end() || found->second.holder != peer) {
    return true;
  }
  const RelayedQuery relayed = found->second;
  m_relayedQueries.erase(found);
  wire::RequestAnswerT returned(answer);
  returned.nonce = relayed.nonce;
  context.SendMessage(relayed.asker, std::move(returned));
  return true;
}

void RequestRelay::Tick(const ControlContext& context)
{
  std::erase_if(m_relayedQueries,
                [&](const auto& row) { return context.now - row.second.asked >= kTimeout; });
}

} // namespace gooseberrysail
