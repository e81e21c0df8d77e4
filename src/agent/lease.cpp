#include "gooseberrysail/agent/lease.hpp"

#include <algorithm>

namespace gooseberrysail {

void GroupLease::Clear()
{
  *this = GroupLease{};
}

bool GroupLease::ReportDue(TimePoint now) const noexcept
{
  return m_reports.Due(now, kReportInterval);
}

void GroupLease::OnReportSent(TimePoint now, std::uint64_t nonce)
{
  m_reports.OnSent(now, nonce);
}

std::optional<TimePoint> GroupLease::OnGrant(std::uint64_t nonce, Duration length)
{
  const auto sentAt = m_reports.SentAt(nonce);
  if (!sentAt) {
    return std::nullopt;
  }
  const TimePoint until = *sentAt + length;
  m_until = m_until ? std::max(*m_until, until) : until;
  return sentAt;
}

} // namespace gooseberrysail
