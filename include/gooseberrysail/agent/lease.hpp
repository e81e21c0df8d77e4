#pragma once

#include "gooseberrysail/agent/nonce_ring.hpp"
#include "gooseberrysail/core/time.hpp"

#include <cstdint>
#include <optional>

namespace gooseberrysail {

/// \brief The head's permission from control to serve as this group epoch.
/// \remarks Counted from when the report was sent: control grants from when it answered, which is
/// later, so the holder always stops first.
class GroupLease
{
public:
  static constexpr Duration kReportInterval = std::chrono::seconds(1);

  void Clear();
  [[nodiscard]] bool ReportDue(TimePoint now) const noexcept;
  void OnReportSent(TimePoint now, std::uint64_t nonce);
  /// \returns When the report of that nonce was sent; none when it is not among the latest.
  [[nodiscard]] std::optional<TimePoint> SentAt(std::uint64_t nonce) const noexcept
  {
    return m_reports.SentAt(nonce);
  }
  /// \param until The sending of the granted report plus the granted length.
  void Extend(TimePoint until) noexcept;
  [[nodiscard]] bool Holds(TimePoint now) const noexcept { return m_until && now < *m_until; }

private:
  impl::NonceRing m_reports;
  std::optional<TimePoint> m_until;
};

} // namespace gooseberrysail
