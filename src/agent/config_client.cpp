#include "gooseberrysail/agent/config_client.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrysail {

ConfigClient::ConfigClient(std::function<std::uint64_t()> random)
  : m_random(std::move(random))
{
}

void ConfigClient::OnVersionSeen(LogIndex version) noexcept
{
  m_seen = std::max(m_seen, version);
}

void ConfigClient::Tick(impl::AgentContext& context, const ControlLink& link, Duration interval)
{
  const bool behind = m_seen > Version() || m_needWhole || !m_confirmedAt;
  const Duration wait = behind ? std::min(interval, kCatchUpInterval) : interval;
  if (!m_queries.Due(context.Now(), wait)) {
    return;
  }
  wire::ConfigQueryT query;
  query.nonce = m_random();
  query.haveVersion = m_needWhole ? 0 : Version().Get();
  m_queries.OnSent(context.Now(), query.nonce);
  for (const auto& control : link.Targets(context.Now())) {
    context.Send(control.process, control.address, query);
  }
}

void ConfigClient::OnState(impl::AgentContext& context,
                           ControlLink& link,
                           const ProcessId& from,
                           const wire::ConfigStateT& state)
{
  const auto sentAt = m_queries.SentAt(state.nonce);
  if (!sentAt) {
    return; // Not an answer to a question of this life.
  }
  link.OnAnswer(context.Now(), from);
  const Result<bool> moved = m_catalogue.Apply(state);
  if (!moved) {
    // With changes missing in between, only the whole copy helps.
    m_needWhole = true;
    context.Emit(EventNumber::kAgentConfigRefused,
                 { { "peer", from.Get() }, { "error", ToString(moved.error()) } });
    return;
  }
  m_needWhole = false;
  OnVersionSeen(LogIndex(state.version));
  context.SetConfigVersion(Version());
  if (Version() >= LogIndex(state.version)) {
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, *sentAt) : *sentAt;
  }
  if (Version() != m_reported || from != m_reportedTo) {
    m_reported = Version();
    m_reportedTo = from;
    wire::InForceT inForce;
    inForce.version = Version().Get();
    context.Send(from, "", inForce);
  }
}

} // namespace gooseberrysail
