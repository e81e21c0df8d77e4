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

void GroupLease::Extend(TimePoint until) noexcept
{
  // A grant that arrives after a later one must not shorten the lease.
  m_until = std::max(m_until.value_or(until), until);
}

} // namespace gooseberrysail
