#include "gooseberrysail/entry/catalogue_client.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

constexpr std::size_t kMaxSentQueries = 16;

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
  if (m_awaitingReply && now - m_lastQueryAt >= kAnswerTimeout) {
    // A follower, a control process without a quorum and one that has failed all don't answer.
    SwitchToNextControl();
  }
  if (now < m_nextQuery) {
    return;
  }
  m_nextQuery = now + kQueryInterval;
  m_lastQueryAt = now;
  m_awaitingReply = true;
  m_sentQueries.push_back({ m_nextNonce++, now });
  if (m_sentQueries.size() > kMaxSentQueries) {
    m_sentQueries.pop_front();
  }
  wire::ConfigQueryT query;
  query.nonce = m_sentQueries.back().nonce;
  query.haveVersion = m_haveVersion.Get();
  send(Current(), query);
}

void CatalogueClient::OnPeerDown(const ProcessId& peer)
{
  if (!m_controls.empty() && Current().process == peer) {
    SwitchToNextControl();
  }
}

Result<bool> CatalogueClient::OnState(const ProcessId& from,
                                      const wire::ConfigStateT& state,
                                      Catalogue& catalogue)
{
  Result<bool> updated = catalogue.Apply(state);
  m_haveVersion = catalogue.Version();
  if (!updated) {
    QueryNow();
    return updated;
  }
  const auto sentAt = SentAt(state.nonce);
  if (!sentAt || state.version < m_haveVersion.Get()) {
    // An answer to no known query, or one older than the version in force here, confirms nothing.
    return updated;
  }
  // The confirmation counts from the time at which the query was sent: a newer version may have
  // been committed while the answer was in transit.
  m_confirmedAt = std::max(m_confirmedAt.value_or(*sentAt), *sentAt);
  m_awaitingReply = false;
  const auto control = std::find_if(
    m_controls.begin(), m_controls.end(), [&](const auto& known) { return known.process == from; });
  if (control != m_controls.end()) {
    m_current = static_cast<std::size_t>(control - m_controls.begin());
  }
  return updated;
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

void CatalogueClient::SwitchToNextControl()
{
  m_current = (m_current + 1) % m_controls.size();
  m_awaitingReply = false;
  m_nextQuery = TimePoint{};
}

std::optional<TimePoint> CatalogueClient::SentAt(std::uint64_t nonce) const
{
  for (const SentQuery& sent : m_sentQueries) {
    if (sent.nonce == nonce) {
      return sent.at;
    }
  }
  return std::nullopt;
}

} // namespace gooseberrysail
