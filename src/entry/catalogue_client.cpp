#include "gooseberrysail/entry/catalogue_client.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

constexpr std::size_t kMaxAsked = 16;

} // namespace

CatalogueClient::CatalogueClient(std::vector<EntrySettings::Control> controls)
  : m_controls(std::move(controls))
{
}

void CatalogueClient::Tick(TimePoint now, const Send& send)
{
  if (m_controls.empty()) {
    return;
  }
  if (m_waiting && now - m_lastAsked >= kAnswerTimeout) {
    // A follower, a control cut off from its quorum and a dead one all look the same: silent.
    TurnToNext();
  }
  if (now < m_nextQuery) {
    return;
  }
  m_nextQuery = now + kQueryInterval;
  m_lastAsked = now;
  m_waiting = true;
  m_asked.push_back({ m_nextNonce++, now });
  if (m_asked.size() > kMaxAsked) {
    m_asked.pop_front();
  }
  wire::ConfigQueryT query;
  query.nonce = m_asked.back().nonce;
  query.haveVersion = m_haveVersion.Get();
  send(Current(), query);
}

void CatalogueClient::OnPeerDown(const ProcessId& peer)
{
  if (!m_controls.empty() && Current().process == peer) {
    TurnToNext();
  }
}

Result<bool> CatalogueClient::OnState(const ProcessId& from,
                                      const wire::ConfigStateT& state,
                                      Catalogue& catalogue)
{
  Result<bool> moved = catalogue.Apply(state);
  m_haveVersion = catalogue.Version();
  if (!moved) {
    Hurry();
    return moved;
  }
  const auto sentAt = SentAt(state.nonce);
  if (!sentAt || state.version < m_haveVersion.Get()) {
    // Unasked, or older than what is in force here: it proves nothing about the newest version.
    return moved;
  }
  // Counted from the sending: a version committed while the answer was under way isn't proved to
  // be absent, so an answer that took long must not make the copy look fresh.
  m_confirmedAt = std::max(m_confirmedAt.value_or(*sentAt), *sentAt);
  m_waiting = false;
  const auto control = std::find_if(
    m_controls.begin(), m_controls.end(), [&](const auto& known) { return known.process == from; });
  if (control != m_controls.end()) {
    m_current = static_cast<std::size_t>(control - m_controls.begin());
  }
  return moved;
}

bool CatalogueClient::IsControl(const ProcessId& peer) const
{
  return std::any_of(m_controls.begin(), m_controls.end(), [&](const auto& control) {
    return control.process == peer;
  });
}

std::optional<Duration> CatalogueClient::ConfirmationAge(TimePoint now) const
{
  if (!m_confirmedAt) {
    return std::nullopt;
  }
  return now - *m_confirmedAt;
}

bool CatalogueClient::Confirmed(TimePoint now, const PolicySpec& policy) const
{
  if (!m_confirmedAt) {
    return false;
  }
  return policy.serveUnconfirmed || now - *m_confirmedAt <= policy.confirmationLimit;
}

void CatalogueClient::TurnToNext()
{
  m_current = (m_current + 1) % m_controls.size();
  m_waiting = false;
  m_nextQuery = TimePoint{};
}

std::optional<TimePoint> CatalogueClient::SentAt(std::uint64_t nonce) const
{
  for (const Asked& asked : m_asked) {
    if (asked.nonce == nonce) {
      return asked.at;
    }
  }
  return std::nullopt;
}

} // namespace gooseberrysail
