#include "gooseberrysail/entry/claims_client.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrysail {

namespace {

/// \returns When the next message of the table is due.
template<class Table, class Send>
TimePoint SendDue(TimePoint now, Table& table, const Send& send)
{
  TimePoint next = now + ClaimsClient::kResendInterval;
  for (auto& [request, pending] : table) {
    if (now >= pending.sendAt) {
      pending.sendAt = now + ClaimsClient::kResendInterval;
      send(pending.message);
    }
    next = std::min(next, pending.sendAt);
  }
  return next;
}

} // namespace

void ClaimsClient::Ask(wire::ClaimRequestT claim)
{
  std::string request = claim.request;
  m_claims.insert_or_assign(std::move(request), Pending<wire::ClaimRequestT>{ std::move(claim) });
  m_nextDue = TimePoint{};
}

void ClaimsClient::StopAsking(std::string_view request)
{
  const auto found = m_claims.find(request);
  if (found != m_claims.end()) {
    m_claims.erase(found);
  }
}

void ClaimsClient::Report(wire::ClaimOutcomeT outcome)
{
  StopAsking(outcome.request);
  std::string request = outcome.request;
  m_outcomes.insert_or_assign(std::move(request),
                              Pending<wire::ClaimOutcomeT>{ std::move(outcome) });
  m_nextDue = TimePoint{};
}

void ClaimsClient::OnOutcomeAck(std::string_view request)
{
  const auto found = m_outcomes.find(request);
  if (found != m_outcomes.end()) {
    m_outcomes.erase(found);
  }
}

void ClaimsClient::Tick(TimePoint now, const Sender& sender)
{
  if (now < m_nextDue) {
    return;
  }
  const TimePoint nextClaim = SendDue(now, m_claims, sender.request);
  const TimePoint nextOutcome = SendDue(now, m_outcomes, sender.outcome);
  m_nextDue = std::min(nextClaim, nextOutcome);
}

} // namespace gooseberrysail
