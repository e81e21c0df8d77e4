#pragma once

#include "gooseberrysail/placement/planner.hpp"
#include "placement/return_times.hpp"
#include "placement/rows.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gooseberrysail::impl {

/// \brief How much of a fabric domain was lost together; the duration of outages depends on it.
enum class OutageSpan : std::uint8_t
{
  kAlone, ///< The VM alone.
  kPart,  ///< A part of its fabric domain, such as a rack.
  kWhole, ///< Nearly its whole fabric domain.
};
inline constexpr std::size_t kOutageSpans = 3;

/// \brief What the planner has recorded of a VM.
struct VmHistory
{
  VmId vm;
  FabricDomainId fabricDomain;
  Row fabric = kNoRow;
  std::string weights; ///< Weights it held when last reachable.
  bool isAway = false;
  OutageSpan span = OutageSpan::kAlone;
  double weight = 1; ///< Weight of this outage in the statistics: VMs lost together count as one.
  TimePoint awaySince{};
  TimePoint countedUntil{}; ///< The outage is included in the statistics up to this time.
  std::optional<TimePoint> returnedAt;
  std::vector<TimePoint> outages; ///< Start times of recent outages of this VM alone.
  std::optional<TimePoint> stragglesSince;
  TimePoint suspectUntil{}; ///< Until then other VMs are preferred.
};

/// \brief Estimates from each call's input how often VMs are lost and when they return.
class History
{
public:
  History();

  /// \brief Records what changed since the last call.
  void Observe(TimePoint now, const PlannerInput& input);

  /// \brief Row of a VM in the latest input; kNoRow when it isn't there.
  [[nodiscard]] Row Find(const VmId& vm) const;
  [[nodiscard]] const VmHistory& At(Row vm) const { return m_vms[vm]; }
  [[nodiscard]] std::size_t CountVms() const noexcept { return m_vms.size(); }
  [[nodiscard]] std::size_t CountFabrics() const noexcept { return m_fabrics.size(); }

  /// \brief Whether a VM is kept out of groups for a while because of repeated outages.
  [[nodiscard]] bool IsQuarantined(Row vm, TimePoint now) const;
  /// \brief Expected outages per second of a flapping VM; 0 for others.
  [[nodiscard]] double FlapRate(Row vm, TimePoint now) const;
  /// \brief Prefers other VMs to this one until the given time.
  void MarkSuspect(Row vm, TimePoint until) { m_vms[vm].suspectUntil = until; }

  /// \brief Probability that a VM that is away now is still away after `wait` seconds.
  [[nodiscard]] double StillAway(Row vm, TimePoint now, double wait) const;
  /// \brief Probability that a VM that is away now holds its weights if it returns after `age`
  /// seconds away.
  [[nodiscard]] double KeepsWeights(Row vm, double age) const;
  /// \brief Distribution of the duration of outages of this span.
  [[nodiscard]] const ReturnTimes& Times(OutageSpan span) const noexcept
  {
    return m_times[static_cast<std::size_t>(span)];
  }
  /// \brief Outages per VM and second, of those that affect a single VM.
  [[nodiscard]] double OutageRate() const noexcept { return m_outages / m_vmSeconds; }

private:
  void AlignRows(const PlannerInput& input);
  void RecordAway(TimePoint now, Row row, const VmView& view);
  void RecordCorrelatedLoss(const VmHistory& history);
  void RecordReturn(TimePoint now, VmHistory& history, const VmView& view);
  [[nodiscard]] ReturnTimes& TimesOf(const VmHistory& history) noexcept
  {
    return m_times[static_cast<std::size_t>(history.span)];
  }
  void AccountTimeAway(VmHistory& history, TimePoint until);
  void RecordStraggling(TimePoint now, VmHistory& history, const VmView& view) const;

  std::vector<VmHistory> m_vms; ///< In the order of the input.
  std::unordered_map<std::string, Row> m_rows;
  std::unordered_map<std::string, Row> m_fabrics;
  std::vector<std::vector<Row>> m_recentlyLost; ///< By fabric row: VMs lost within the window.
  std::vector<std::size_t> m_fabricSizes;       ///< By fabric row.
  std::array<ReturnTimes, kOutageSpans> m_times;
  double m_outages;
  double m_vmSeconds;
  std::optional<TimePoint> m_lastCall;
};

} // namespace gooseberrysail::impl
