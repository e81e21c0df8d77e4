#pragma once

#include "gooseberrysail/placement/planner.hpp"
#include "placement/return_times.hpp"
#include "placement/rows.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gooseberrysail::impl {

/// \brief What the planner remembers of a VM.
struct VmHistory
{
  VmId vm;
  FabricDomainId fabricDomain;
  Row fabric = kNoRow;
  std::string weights; ///< What it held when last reached.
  bool isAway = false;
  bool isTogether = false; ///< Lost at the same time as others of its fabric domain.
  double weight = 1;       ///< Of this outage in the statistics: those lost together count as one.
  TimePoint awaySince{};
  TimePoint countedUntil{}; ///< Up to here the outage is in the statistics.
  std::optional<TimePoint> returnedAt;
  std::vector<TimePoint> outages; ///< Recent ones that struck it alone.
  std::optional<TimePoint> stragglesSince;
  TimePoint doubtfulUntil{}; ///< Until then other VMs are taken first.
};

/// \brief Learns from each call's input how VMs go away and come back.
class History
{
public:
  History();

  /// \brief Notes what changed since the last call.
  void Observe(TimePoint now, const PlannerInput& input);

  /// \brief Row of a VM in the latest input; kNoRow when it isn't there.
  [[nodiscard]] Row Find(const VmId& vm) const;
  [[nodiscard]] const VmHistory& At(Row vm) const { return m_vms[vm]; }
  [[nodiscard]] std::size_t CountFabrics() const noexcept { return m_fabrics.size(); }

  /// \brief Whether a VM that went away again and again is kept out of groups for a while.
  [[nodiscard]] bool IsQuarantined(Row vm, TimePoint now) const;
  /// \brief Outages per second to expect of a VM that keeps going away; 0 for others.
  [[nodiscard]] double FlapRate(Row vm, TimePoint now) const;
  /// \brief Prefers other VMs to these for a while.
  void Doubt(Row vm, TimePoint until) { m_vms[vm].doubtfulUntil = until; }

  /// \brief Chance that a VM that is away now is still away after `wait` seconds.
  [[nodiscard]] double StillAway(Row vm, TimePoint now, double wait) const;
  /// \brief Chance that a VM that is away now holds its weights if it returns at this age.
  [[nodiscard]] double KeepsWeights(Row vm, double age) const;
  /// \brief How long outages last that strike one VM, or many at once.
  [[nodiscard]] const ReturnTimes& Alone() const noexcept { return m_alone; }
  [[nodiscard]] const ReturnTimes& Together() const noexcept { return m_together; }
  /// \brief Outages per VM and second, of those that strike one VM.
  [[nodiscard]] double OutageRate() const noexcept { return m_outages / m_vmSeconds; }

private:
  void Align(const PlannerInput& input);
  void NoteAway(TimePoint now, Row row, const VmView& view);
  void NoteTogether(const VmHistory& history);
  void NoteReturn(TimePoint now, VmHistory& history, const VmView& view);
  void CountAway(VmHistory& history, TimePoint until);
  void NoteStraggling(TimePoint now, VmHistory& history, const VmView& view) const;

  std::vector<VmHistory> m_vms; ///< In the order of the input.
  std::unordered_map<std::string, Row> m_rows;
  std::unordered_map<std::string, Row> m_fabrics;
  std::vector<std::vector<Row>> m_lostLately; ///< By fabric row: VMs lost within the window.
  ReturnTimes m_alone;
  ReturnTimes m_together;
  double m_outages;
  double m_vmSeconds;
  std::optional<TimePoint> m_lastCall;
};

} // namespace gooseberrysail::impl
