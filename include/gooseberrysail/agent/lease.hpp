#pragma once

#include "gooseberrysail/agent/nonce_ring.hpp"
#include "gooseberrysail/core/time.hpp"

#include <cstdint>
#include <optional>

namespace gooseberrysail {

/// \brief The head's lease from control to serve as this group epoch.
/// \remarks The head counts the lease from the time it sent its report, control from the later time
/// of its answer. The head's lease therefore always ends first.
class GroupLease
{
public:
  static constexpr Duration kReportInterval = std::chrono::seconds(1);

  void Clear();
  [[nodiscard]] bool ReportDue(TimePoint now) const noexcept;
  void OnReportSent(TimePoint now, std::uint64_t nonce);
  /// \returns When the report with that nonce was sent; none when it isn't among the latest.
  [[nodiscard]] std::optional<TimePoint> SentAt(std::uint64_t nonce) const noexcept
  {
    return m_reports.SentAt(nonce);
  }
  /// \param until The time at which the report was sent plus the granted duration.
  void Extend(TimePoint until) noexcept;
  [[nodiscard]] bool Holds(TimePoint now) const noexcept { return m_until && now < *m_until; }

private:
  impl::NonceRing m_reports;
  std::optional<TimePoint> m_until;
};

} // namespace gooseberrysail
