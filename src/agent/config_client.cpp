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

void ConfigClient::OnConfirmed(TimePoint askedAt, LogIndex version) noexcept
{
  OnVersionSeen(version);
  if (Version() >= version && !Version().IsNone()) {
    m_confirmedAt = std::max(m_confirmedAt.value_or(askedAt), askedAt);
  }
}

void ConfigClient::Tick(impl::AgentContext& context, const ControlLink& link, Duration renewAfter)
{
  const TimePoint now = context.Now();
  const bool behind = m_seen > Version() || m_needWhole;
  const bool due = behind || !m_confirmedAt || now - *m_confirmedAt >= renewAfter;
  // While no control answers, all of them are asked: that must stay rare.
  const bool hurry = behind && link.Answers(now);
  if (!due || !m_queries.Due(now, hurry ? kCatchUpInterval : kAskInterval)) {
    return;
  }
  wire::ConfigQueryT query;
  query.nonce = m_random();
  query.haveVersion = m_needWhole ? 0 : Version().Get();
  m_queries.OnSent(now, query.nonce);
  for (const auto& control : link.Targets(now)) {
    context.Send(control.process, control.address, query);
  }
}

void ConfigClient::OnState(impl::AgentContext& context,
                           ControlLink& link,
                           const ProcessId& from,
                           const wire::ConfigStateT& state)
{
  // Committed changes are true whoever tells them, so an unasked one is taken in too; it only
  // confirms nothing.
  const auto sentAt = m_queries.SentAt(state.nonce);
  OnVersionSeen(LogIndex(state.version));
  const Result<bool> moved = m_catalogue.Apply(state);
  if (sentAt) {
    link.OnAnswer(context.Now(), from);
  }
  if (!moved) {
    // With changes missing in between, only the whole copy helps.
    m_needWhole = sentAt.has_value();
    if (m_needWhole) {
      context.Emit(EventNumber::kAgentConfigRefused,
                   { { "peer", from.Get() }, { "error", ToString(moved.error()) } });
    }
    return;
  }
  m_needWhole = false;
  context.SetConfigVersion(Version());
  if (sentAt) {
    OnConfirmed(*sentAt, LogIndex(state.version));
  }
  ReportInForce(context, from);
}

void ConfigClient::ReportInForce(impl::AgentContext& context, const ProcessId& control)
{
  if (Version() == m_reported && control == m_reportedTo) {
    return;
  }
  m_reported = Version();
  m_reportedTo = control;
  wire::InForceT inForce;
  inForce.version = Version().Get();
  inForce.failureDomain = context.Settings().failureDomain.Get();
  context.Send(control, "", inForce);
}

} // namespace gooseberrysail
