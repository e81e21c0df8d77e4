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
  m_latestSeen = std::max(m_latestSeen, version);
}

void ConfigClient::OnConfirmed(TimePoint querySentAt, LogIndex version) noexcept
{
  OnVersionSeen(version);
  if (Version() >= version && !Version().IsNone()) {
    m_confirmedAt = std::max(m_confirmedAt.value_or(querySentAt), querySentAt);
  }
}

void ConfigClient::Tick(impl::AgentContext& context, const ControlLink& link, Duration renewAfter)
{
  const TimePoint now = context.Now();
  const bool behind = m_latestSeen > Version() || m_needFullState;
  const bool due = behind || !m_confirmedAt || now - *m_confirmedAt >= renewAfter;
  // While no control process answers, queries go to all of them and are sent at the lower rate.
  const bool catchingUp = behind && link.HasActiveControl(now);
  if (!due || !m_queries.Due(now, catchingUp ? kCatchUpInterval : kAskInterval)) {
    return;
  }
  wire::ConfigQueryT query;
  query.nonce = m_random();
  query.haveVersion = m_needFullState ? 0 : Version().Get();
  m_queries.OnSent(now, query.nonce);
  for (const auto& control : link.Recipients(now)) {
    context.Send(control.process, control.address, query);
  }
}

void ConfigClient::OnState(impl::AgentContext& context,
                           ControlLink& link,
                           const ProcessId& from,
                           const wire::ConfigStateT& state)
{
  // Committed changes are valid whatever their source, so that unsolicited ones are applied too;
  // they don't confirm the version.
  const auto sentAt = m_queries.SentAt(state.nonce);
  OnVersionSeen(LogIndex(state.version));
  const Result<bool> applied = m_catalogue.Apply(state);
  if (sentAt) {
    link.OnAnswer(context.Now(), from);
  }
  if (!applied) {
    // Intermediate changes are missing, so that the full state must be requested.
    m_needFullState = sentAt.has_value();
    if (m_needFullState) {
      context.Emit(EventNumber::kAgentConfigRefused,
                   { { "peer", from.Get() }, { "error", ToString(applied.error()) } });
    }
    return;
  }
  m_needFullState = false;
  context.SetConfigVersion(Version());
  if (sentAt) {
    OnConfirmed(*sentAt, LogIndex(state.version));
  }
  ReportInForce(context, from);
}

void ConfigClient::ReportInForce(impl::AgentContext& context, const ProcessId& control)
{
  if (Version() == m_reportedVersion && control == m_reportedTo) {
    return;
  }
  m_reportedVersion = Version();
  m_reportedTo = control;
  wire::InForceT inForce;
  inForce.version = Version().Get();
  inForce.failureDomain = context.Settings().failureDomain.Get();
  context.Send(control, "", inForce);
}

} // namespace gooseberrysail
